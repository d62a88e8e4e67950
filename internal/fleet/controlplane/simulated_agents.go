package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"ploverreel/internal/agent"
	"ploverreel/internal/config"
)

// maxBufferedEvents is the maximum number of events that a process keeps between two reports.
const maxBufferedEvents = 1 << 20

// event reports that an agent applied a version of the list.
type event struct {
	Agent int   `json:"a"`
	Seq   int64 `json:"s"`           // the version
	At    int64 `json:"t"`           // Unix time in microseconds
	Whole bool  `json:"w,omitempty"` // a whole list, not a change
}

// simulatedAgents are the agents of one process. They run the real watch code and the real decision
// module and have no clients.
type simulatedAgents struct {
	plan           *Plan
	discoveryPorts map[int]int                // by agent
	cancels        map[int]context.CancelFunc // by agent
	log            *slog.Logger
	running        sync.WaitGroup

	mu     sync.Mutex
	events []event
	err    error
}

// handle executes one command of the bench.
func (h *simulatedAgents) handle(ctx context.Context, cmd *command) (reply, error) {
	switch cmd.Op {
	case opOpen:
		if len(cmd.Ports) != len(cmd.Agents) {
			return reply{}, errors.New("agents: need one port for each agent")
		}
		h.plan, h.discoveryPorts, h.cancels = cmd.Plan, map[int]int{}, map[int]context.CancelFunc{}
		// Agents log a warning for each watch that ends, among others. Warnings are expected in a
		// run and not logged.
		h.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
		for i, a := range cmd.Agents {
			h.discoveryPorts[a] = cmd.Ports[i]
			if err := h.start(ctx, a, h.plan.startDelay(a)); err != nil {
				return reply{}, err
			}
		}
		return reply{}, nil
	case opRestart:
		for _, a := range cmd.Agents {
			if h.cancels[a] == nil {
				return reply{}, fmt.Errorf("agent %d: does not run in this process", a)
			}
			h.cancels[a]()
			if err := h.start(ctx, a, 0); err != nil {
				return reply{}, err
			}
		}
		return reply{}, nil
	case opReport:
		h.mu.Lock()
		defer h.mu.Unlock()
		events := h.events
		h.events = nil
		return reply{Events: events}, h.err
	}
	return reply{}, fmt.Errorf("unknown command %q", cmd.Op)
}

// start starts an agent without an endpoint list, after a delay.
func (h *simulatedAgents) start(ctx context.Context, index int, delay time.Duration) error {
	text, err := h.plan.agentConfig(index, fmt.Sprintf("127.0.0.1:%d", h.discoveryPorts[index]))
	if err != nil {
		return fmt.Errorf("agent %d: %w", index, err)
	}
	conf, err := config.Parse(text)
	if err != nil {
		return fmt.Errorf("agent %d: %w", index, err)
	}
	ctx, h.cancels[index] = context.WithCancel(ctx)
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		err := agent.RunSimulated(ctx, conf, h.log, func(seq int64, whole bool) {
			if ctx.Err() == nil { // otherwise the simulated process has ended
				h.recordApplied(event{index, seq, time.Now().UnixMicro(), whole})
			}
		})
		if err != nil {
			h.recordError(fmt.Errorf("agent %d: %w", index, err))
		}
	}()
	return nil
}

// recordApplied keeps an event for the next report.
func (h *simulatedAgents) recordApplied(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) >= maxBufferedEvents {
		h.err = errors.New("too many applied lists between two reports")
		return
	}
	h.events = append(h.events, e)
}

// recordError keeps an error for the reports that follow.
func (h *simulatedAgents) recordError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

// close stops the agents and waits until they have ended.
func (h *simulatedAgents) close() {
	for _, cancel := range h.cancels {
		cancel()
	}
	h.running.Wait()
}
