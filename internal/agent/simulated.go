package agent

import (
	"context"
	"log/slog"

	"ploverreel/internal/config"
)

// RunSimulated runs an agent without its clients' side until ctx ends: the loop, the module and the
// watch of the list are those of an agent, so that a bench can run thousands of them in a process. All
// goroutines of the agent end with ctx.
//
// After each list that is in force, for connections and module, onEndpointList is called with its
// version, from the loop: it must not block. It is not called for the list of the configuration. The
// error is that of a configuration that the module doesn't take.
func RunSimulated(ctx context.Context, conf *config.Config, log *slog.Logger, onEndpointList func(seq int64, whole bool)) error {
	l, err := newLoop(ctx, conf, log)
	if err != nil {
		return err
	}
	l.watch.onApplied = onEndpointList
	l.run()
	return nil
}
