// Command simadapter runs many independent balancers, the agents' decision module, on the simulator's
// wire: batches on standard input, one reply for each on standard output. It ends with 0 at a clean end
// of input, and with 1 and one line on standard error for a batch that can't be read or a reply that
// can't be written.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"ploverreel/internal/simwire"
	"ploverreel/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends. Instances share nothing but the
// process; each is reached through its number only.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	output := bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*policy.Balancer{}
	var encoder simwire.Encoder
	var actions []policy.Action
	handle := func(now float64, record *simwire.Record) error {
		switch record.Kind {
		case simwire.Boot:
			balancer, err := boot(record)
			if err != nil {
				encoder.Crash(record.Instance, err.Error())
				delete(instances, record.Instance)
				return nil
			}
			instances[record.Instance] = balancer
			actions = balancer.Start(now, actions[:0])
		case simwire.Killed:
			delete(instances, record.Instance)
			return nil
		default:
			balancer := instances[record.Instance]
			if balancer == nil {
				return nil // it was killed or never started
			}
			actions = balancer.Handle(now, record.Event, actions[:0])
		}
		for i := range actions {
			encoder.Add(record.Instance, &actions[i])
		}
		return nil
	}
	for {
		encoder.Reset()
		if err := decoder.Next(handle); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		if _, err := encoder.WriteTo(output); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := output.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// boot returns a balancer with the settings and the seed of a Boot record.
func boot(record *simwire.Record) (*policy.Balancer, error) {
	settings, err := simwire.ParseSettings(record.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, record.Seed)
}
