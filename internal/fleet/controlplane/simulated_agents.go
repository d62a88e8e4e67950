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

// event is the moment at which a version of the list came to be in force at an agent.
type event struct {
	Agent int   `json:"a"`
	Seq   int64 `json:"s"`
	At    int64 `json:"t"` // Unix time in microseconds
	Whole bool  `json:"w,omitempty"`
}

// simulatedAgents are a process's agents: the real watch code and module, without clients.
type simulatedAgents struct {
	plan  *Plan
	ports map[int]int // of an agent's discovery
	stops map[int]context.CancelFunc
	log   *slog.Logger
	group sync.WaitGroup

	mu     sync.Mutex
	events []event
	err    error
}

// handle carries out one command of the bench.
func (h *simulatedAgents) handle(ctx context.Context, cmd *command) (reply, error) {
	switch cmd.Op {
	case opOpen:
		if len(cmd.Ports) != len(cmd.Agents) {
			return reply{}, errors.New("agents: no port for each")
		}
		h.plan, h.ports, h.stops = cmd.Plan, map[int]int{}, map[int]context.CancelFunc{}
		// Warnings of agents, as of each watch that ends, are expected in a run.
		h.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
		for i, a := range cmd.Agents {
			h.ports[a] = cmd.Ports[i]
			if err := h.start(ctx, a, h.plan.startDelay(a)); err != nil {
				return reply{}, err
			}
		}
		return reply{}, nil
	case opRestart:
		for _, a := range cmd.Agents {
			if h.stops[a] == nil {
				return reply{}, fmt.Errorf("agent %d: not here", a)
			}
			h.stops[a]()
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

// start runs an agent that has no endpoint list yet, after a delay.
func (h *simulatedAgents) start(ctx context.Context, index int, delay time.Duration) error {
	text, err := h.plan.config(index, fmt.Sprintf("127.0.0.1:%d", h.ports[index]))
	if err != nil {
		return fmt.Errorf("agent %d: %w", index, err)
	}
	conf, err := config.Parse(text)
	if err != nil {
		return fmt.Errorf("agent %d: %w", index, err)
	}
	ctx, h.stops[index] = context.WithCancel(ctx)
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		err := agent.RunSimulated(ctx, conf, h.log, func(seq int64, whole bool) {
			if ctx.Err() == nil { // else its process has ended
				h.recordInForce(event{index, seq, time.Now().UnixMicro(), whole})
			}
		})
		if err != nil {
			h.fail(fmt.Errorf("agent %d: %w", index, err))
		}
	}()
	return nil
}

// recordInForce keeps an event for the next report.
func (h *simulatedAgents) recordInForce(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) >= maxBufferedEvents {
		h.err = errors.New("too many lists between two reports")
		return
	}
	h.events = append(h.events, e)
}

// fail keeps an error for the next report.
func (h *simulatedAgents) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

// close ends the agents.
func (h *simulatedAgents) close() {
	for _, stop := range h.stops {
		stop()
	}
	h.group.Wait()
}
