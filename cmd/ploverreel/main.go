// Command ploverreel is one load-balancing agent on sockets. EDGE_CONFIG names the file of its
// configuration; EDGE_TRACE, a duration such as "1s", has it log the decision module's state at that
// interval. SIGHUP reloads the configuration, and SIGTERM shuts the agent down gracefully. An error at
// the start is one line on standard error, with exit code 1.
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

const (
	// gcPercent lets the heap grow well past the usual twice before a collection: the live heap is a
	// few MB, and collections cost time.
	gcPercent = 400
	// heapShare is the part of the memory limit that the heap may take. The limit also counts stacks
	// and the program.
	heapShare = 0.6
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ploverreel:", err)
		os.Exit(1)
	}
}

// run reads the configuration, listens, and serves until SIGTERM or an interrupt. Its error is one
// line.
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
	traceInterval, err := config.ParseTrace(os.Getenv("EDGE_TRACE"))
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	applyLimits(conf.Limits)
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
	log.Info("started", "listen", conf.Listen, "backends", len(conf.InitialList.Hosts))
	if traceInterval > 0 {
		go func() {
			if err := balancer.Trace(traceInterval); err != nil {
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

// reloadOn reloads the configuration at path at each signal. If that fails, the configuration in force
// stays. It never returns: its goroutine lives as long as the process.
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
		applyLimits(conf.Limits)
		log.Info("reload applied", "discovery", conf.Discovery)
	}
}

// applyLimits keeps the process within the limits of cores and memory. The machine may have more cores
// than the agent may use, and more threads than cores would only wait for each other.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores)), 1))
	debug.SetMemoryLimit(int64(limits.MemoryMB * heapShare * (1 << 20)))
}
