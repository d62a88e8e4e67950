package agent

import (
	"context"
	"log/slog"

	"ploverreel/internal/config"
)

// RunSimulated runs an agent without clients until ctx ends. Its loop, its module and its watch of
// the endpoint list are the same as those of a real agent. A bench can run thousands of such agents
// in one process. All goroutines of the agent end with ctx.
//
// After each list has been applied to the connections and to the module, the loop calls
// onListApplied with the version of the list and whether it was a whole list. onListApplied must not
// block. It is not called for the list of the configuration. RunSimulated returns an error if the
// module rejects the settings.
func RunSimulated(ctx context.Context, conf *config.Config, log *slog.Logger, onListApplied func(seq int64, whole bool)) error {
	l, err := newLoop(ctx, conf, log)
	if err != nil {
		return err
	}
	l.onListApplied = onListApplied
	l.run()
	return nil
}
