package agent

import (
	"context"
	"log/slog"

	"ploverreel/internal/config"
)

// RunSimulated runs an agent that serves no clients until ctx ends. The loop, the module and the watch
// of the endpoint list are those of any agent, so that a bench can run thousands of them in a process.
// All goroutines of the agent end with ctx.
//
// After each list that is put in force, for connections and module, onListApplied is called with its
// version and whether it was a whole list. It is called from the loop and must not block. It is not
// called for the list of the configuration. The error is that of a configuration that the module
// refuses.
func RunSimulated(ctx context.Context, conf *config.Config, log *slog.Logger, onListApplied func(seq int64, whole bool)) error {
	l, err := newLoop(ctx, conf, log)
	if err != nil {
		return err
	}
	l.onListApplied = onListApplied
	l.run()
	return nil
}
