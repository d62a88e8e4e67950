package agent

import (
	"context"
	"log/slog"
)

// RunSimulated runs an agent without its clients' side until the context ends: the loop, the
// module and the watch of the list are those of an agent, so that a bench can run thousands
// of them in a process. After each list that is in force, connections and module included,
// learned is told its version, from the loop: it must not block. The list of the
// configuration is not told.
func RunSimulated(ctx context.Context, c *Config, log *slog.Logger, learned func(seq int64, whole bool)) error {
	l, err := newLoop(ctx, c, log)
	if err != nil {
		return err
	}
	l.onEndpointList = learned
	l.run()
	return nil
}
