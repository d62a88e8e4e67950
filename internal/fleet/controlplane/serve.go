package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// handler executes the commands of the bench in one role.
type handler interface {
	handle(context.Context, *command) (reply, error)
	close() // ends everything that the commands started
}

// Serve runs a process of the bench in one role, RoleStandIn or RoleAgents. It reads commands from
// in, each a JSON object, and writes a reply to out for each.
//
// Serve returns nil when in ends, which happens when the bench ends, or when the context is done.
// It returns an error for an unknown role, for input that is not a command, or if a reply can't be
// written. If a command fails, the reply has the error and Serve continues.
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

// readCommands reads commands until the context is done, in ends or a command is invalid. In the
// last two cases it sends the error to ended. The error is io.EOF if in ended between two commands.
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

// execute executes a command and returns its reply. If the command fails, the reply has the error.
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
