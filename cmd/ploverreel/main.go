// Command ploverreel is one load-balancing agent on sockets. EDGE_CONFIG names its configuration;
// EDGE_TRACE, a duration such as "1s", has it log the module's state so far apart. SIGHUP reloads the
// configuration, SIGTERM ends the agent in order. An error at the start is one line on standard error,
// with exit code 1.
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
	"ploverreel/internal/clientconn"
	"ploverreel/internal/config"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ploverreel:", err)
		os.Exit(1)
	}
}

// run is the program: it reads the configuration, listens, and serves until SIGTERM or an interrupt.
// SIGHUP reloads the configuration. Its error is one line.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("EDGE_CONFIG")
	conf, err := config.Load(path)
	if err != nil {
		return err
	}
	tracePeriod, err := config.ParseTrace(os.Getenv("EDGE_TRACE"))
	if err != nil {
		return err
	}
	// The live heap is a few MB, so it may grow well past the usual twice, which saves
	// collections.
	debug.SetGCPercent(400)
	limit(conf.Limits)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("agent", conf.Name)
	balancer, err := agent.New(conf, log)
	if err != nil {
		return err
	}
	listener, err := clientconn.Listen(ctx, conf.Listen)
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	go reloadOn(reload, path, balancer, log)
	log.Info("started", "listen", conf.Listen, "backends", len(conf.Known.Hosts))
	if tracePeriod > 0 {
		go func() {
			if err := balancer.Trace(tracePeriod); err != nil {
				log.Error("trace not started", "err", err)
			}
		}()
	}
	if err := balancer.Serve(ctx, listener); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// reloadOn puts the configuration at path in force at each signal, and keeps the one in force when
// the new one has an error. It never returns: its goroutine lives as long as the process.
func reloadOn(signals <-chan os.Signal, path string, balancer *agent.Agent, log *slog.Logger) {
	for range signals {
		conf, err := config.Load(path)
		if err == nil {
			err = balancer.Reload(conf)
		}
		if err != nil {
			log.Error("reload rejected", "err", err)
			continue
		}
		limit(conf.Limits)
		log.Info("reload applied", "discovery", conf.Discovery)
	}
}

// limit keeps the process to the limits. The machine may have more cores than the agent may
// use; more threads than cores would only wait for each other. The heap must stay well below the
// limit of memory, which counts stacks and the program too.
func limit(limits config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores)), 1))
	debug.SetMemoryLimit(int64(limits.MemoryMB * 0.6 * (1 << 20)))
}
