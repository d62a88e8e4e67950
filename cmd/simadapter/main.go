// Command simadapter connects the agents' decision module to the simulator. It runs many independent
// balancers in one process. It reads batches of the simulator's wire protocol from standard input
// and writes one reply for each batch to standard output.
//
// The exit code is 0 if the input ends between two batches. If a batch can't be read or a reply
// can't be written, the exit code is 1 and one line on standard error gives the reason.
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

// run answers batches until the input ends. Each instance is a balancer of its own, found by its
// number. Instances share no state.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	output := bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*policy.Balancer{}
	var encoder simwire.Encoder
	var actions []policy.Action
	handle := func(now float64, record *simwire.Record) error {
		switch record.Kind {
		case simwire.InstanceStarted:
			balancer, err := newBalancer(record)
			if err != nil {
				encoder.AddCrash(record.Instance, err.Error())
				delete(instances, record.Instance)
				return nil
			}
			instances[record.Instance] = balancer
			actions = balancer.Start(now, actions[:0])
		case simwire.InstanceEnded:
			delete(instances, record.Instance)
			return nil
		default:
			balancer := instances[record.Instance]
			if balancer == nil {
				return nil // the instance has ended, or it never started
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

// newBalancer returns a balancer with the settings and the seed of an InstanceStarted record.
func newBalancer(record *simwire.Record) (*policy.Balancer, error) {
	settings, err := simwire.ParseSettings(record.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, record.Seed)
}
