package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// handler carries out the commands of the bench in one role.
type handler interface {
	handle(context.Context, *command) (reply, error)
	close() // ends all that the commands started
}

// Serve runs a process of the bench in one role, RoleStandIn or RoleAgents: it reads commands, one
// JSON object each, from in and writes a reply to out for each. It returns nil when in ends, as it
// does when the bench ends, or when the context is done; and an error for an unknown role, for
// input that is no command, or if a reply can't be written. A command that fails is no error of Serve:
// its reply holds the error.
func Serve(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var h handler
	switch role {
	case RoleStandIn:
		h = &standIn{}
	case RoleAgents:
		h = &simulatedAgents{}
	default:
		return fmt.Errorf("unknown role %q", role)
	}
	defer h.close()
	delay := &schedulingDelay{}
	go delay.measure(ctx)
	commands, ended := readCommands(ctx, in)
	replies := json.NewEncoder(out)
	for {
		select {
		case cmd := <-commands:
			if err := replies.Encode(execute(ctx, h, &cmd, delay)); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		case err := <-ended:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("command: %w", err)
		case <-ctx.Done():
			return nil
		}
	}
}

// readCommands reads commands until the context is done or in ends. Then ended has the error, io.EOF
// where in ended between two commands.
func readCommands(ctx context.Context, in io.Reader) (<-chan command, <-chan error) {
	commands := make(chan command)
	ended := make(chan error, 1)
	go func() {
		decoder := json.NewDecoder(in)
		for {
			var cmd command
			if err := decoder.Decode(&cmd); err != nil {
				ended <- err
				return
			}
			select {
			case commands <- cmd:
			case <-ctx.Done():
				return
			}
		}
	}()
	return commands, ended
}

// answer carries out a command and returns its reply, which holds the error if it failed.
func execute(ctx context.Context, h handler, cmd *command, delay *schedulingDelay) reply {
	r, err := h.handle(ctx, cmd)
	if err == nil {
		r.Usage, err = measureUsage(cmd.Heap)
	}
	if err != nil {
		r.Error = err.Error()
	}
	if cmd.Op == opReport {
		r.LateMs = delay.takeLongestMs()
	}
	return r
}
