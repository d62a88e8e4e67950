// Command ploverreel runs one load-balancing agent on sockets.
//
// EDGE_CONFIG is the path of the configuration file. EDGE_TRACE, a duration such as "1s", turns on
// the trace: the agent logs the state of the decision module at that interval. SIGHUP reloads the
// configuration. SIGTERM shuts the agent down gracefully. If the agent can't start, it prints one
// line on standard error and exits with code 1.
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
	// gcPercent is the growth of the heap, in percent of the live heap, after which the garbage
	// collector runs. It is higher than the default of 100, because the live heap is only a few MB
	// and collections cost time.
	gcPercent = 400
	// heapShare is the fraction of limits.memory_mb that the heap may use. The rest is for stacks and
	// the program itself.
	heapShare = 0.6
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ploverreel:", err)
		os.Exit(1)
	}
}

// run loads the configuration, listens, and serves until SIGTERM or SIGINT. Its error is one line.
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

// reloadOn reloads the configuration from path on each signal. If a reload fails, the current
// configuration is kept. It never returns; its goroutine ends with the process.
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

// applyLimits applies the limits of cores and memory to the Go runtime. The machine may have more
// cores than the agent may use, and more running threads than usable cores would only wait for each
// other.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(limits.Cores)), 1))
	debug.SetMemoryLimit(int64(limits.MemoryMB * heapShare * (1 << 20)))
}
