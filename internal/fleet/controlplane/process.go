package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// Process is the bench's handle of one of its processes. It has a pipe for commands and a pipe for
// replies.
type Process struct {
	name      string
	commands  io.WriteCloser
	replies   *json.Decoder
	terminate func()       // ends the process immediately
	wait      func() error // returns after the process has ended
	endOnce   sync.Once
}

// Spawn starts a process in a role, RoleStandIn or RoleAgents. The caller has to close or kill the
// process.
type Spawn func(ctx context.Context, role string) (*Process, error)

// SpawnProgram returns a Spawn that starts the program with the arguments, followed by the role.
// Each process runs Go code on one core only, because all processes of the bench share one machine.
// Errors of the Spawn name the role.
func SpawnProgram(program string, args ...string) Spawn {
	return func(ctx context.Context, role string) (*Process, error) {
		cmd := exec.Command(program, append(args[:len(args):len(args)], role)...)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
		cmd.Stderr = os.Stderr
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		return &Process{name: fmt.Sprintf("%s, process %d", role, cmd.Process.Pid), commands: in, replies: json.NewDecoder(out),
			terminate: func() { _ = cmd.Process.Kill() }, wait: cmd.Wait}, nil
	}
}

// call sends a command and returns its reply. After an error the run has to end, because the
// process may have ended or may still be executing the command.
func (p *Process) call(ctx context.Context, cmd *command) (reply, error) {
	type result struct {
		reply
		err error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		if r.err = json.NewEncoder(p.commands).Encode(cmd); r.err == nil {
			r.err = p.replies.Decode(&r.reply)
		}
		done <- r
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil && ctx.Err() != nil: // the interrupt ended the process too
			return r.reply, fmt.Errorf("%s: %s: %w", p.name, cmd.Op, context.Cause(ctx))
		case r.err != nil:
			return r.reply, fmt.Errorf("%s: %s: has died: %w", p.name, cmd.Op, r.err)
		case r.Error != "":
			return r.reply, fmt.Errorf("%s: %s: %s", p.name, cmd.Op, r.Error)
		}
		return r.reply, nil
	case <-ctx.Done():
		return reply{}, fmt.Errorf("%s: %s: %w", p.name, cmd.Op, context.Cause(ctx))
	}
}

// kill ends the process immediately, like a failure of its machine.
func (p *Process) kill() {
	p.endOnce.Do(func() {
		p.terminate()
		_ = p.wait() // always an error, as the process was killed
		p.commands.Close()
	})
}

// shutdownGrace bounds the time that a process may take to exit after its commands end. Then it is
// killed.
const shutdownGrace = 5 * time.Second

// close ends the commands of the process and waits until it exits. It kills the process after
// shutdownGrace.
func (p *Process) close() {
	p.endOnce.Do(func() {
		p.commands.Close()
		timer := time.AfterFunc(shutdownGrace, p.terminate)
		defer timer.Stop()
		_ = p.wait() // the exit status is not needed: the replies were read, or the run has an error already
	})
}
