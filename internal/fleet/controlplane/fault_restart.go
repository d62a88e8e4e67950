package controlplane

import (
	"context"
	"time"
)

// restartedAgentShare is the share of all agents that restart at the same time.
const restartedAgentShare = 0.1

// agentsRestarted restarts a random sample of the agents at the same time. Each starts without a
// list.
var agentsRestarted = fault{"a tenth restarted", func(c *caseRun) {
	f := c.fleet
	sample := f.sampleAgents(restartedAgentShare)
	restarting := map[int]bool{}
	for _, a := range sample {
		restarting[a] = true
	}
	seq, _, _ := f.source.state()
	now := time.Now()
	c.runStep(func(ctx context.Context) error {
		return forEachConcurrently(f.workers, func(w *worker) error {
			cmd := &command{Op: opRestart}
			for _, a := range w.agents {
				if restarting[a] {
					cmd.Agents = append(cmd.Agents, a)
				}
			}
			_, err := w.call(ctx, cmd)
			return err
		})
	})
	c.measureRecovery("restart", sample, version{seq, now}, now)
}}
