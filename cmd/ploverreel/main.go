// Command ploverreel is one load-balancing agent on real sockets. Its file of
// settings is named by EDGE_CONFIG.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ploverreel/internal/agent"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ploverreel:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("EDGE_CONFIG")
	conf, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	trace, err := agent.ParseTrace(os.Getenv("EDGE_TRACE"))
	if err != nil {
		return err
	}
	// The live heap is a few MB, so it may grow well past the usual twice, which saves
	// collections.
	debug.SetGCPercent(400)
	limit(conf.Limits)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("agent", conf.Name)
	a, err := agent.New(conf, log)
	if err != nil {
		return err
	}
	ln, err := agent.Listen(ctx, conf.Listen)
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	go func() {
		for range reload {
			next, err := agent.LoadConfig(path)
			if err == nil {
				err = a.Reload(next)
			}
			if err != nil {
				log.Error("reload: the configuration at hand is kept", "err", err)
				continue
			}
			limit(next.Limits)
			log.Info("reload: the configuration is in force", "discovery", next.Discovery)
		}
	}()
	log.Info("started", "listen", conf.Listen, "backends", len(conf.Known.Hosts))
	if trace > 0 {
		go func() {
			if err := a.Trace(trace); err != nil {
				log.Error("trace: not on", "err", err)
			}
		}()
	}
	if err := a.Serve(ctx, ln); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

// limit keeps the process to the limits. The machine may have more cores than the agent may
// use; more threads than cores would only wait for each other. The heap must not come near
// the limit of memory.
func limit(l agent.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB * 0.6 * (1 << 20)))
}
