package model

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"ploverreel/internal/fleet"
)

// Scenario is a run of a fleet with one fault, or without a fault.
type Scenario struct {
	Name          string
	Help          string
	maxRateFactor func(cfg *Config) float64 // maximum factor of its bursts on the rate; nil: no bursts
	inject        func(m *Model)            // begins its fault; nil: no fault
}

// Scenarios returns all scenarios. Their names are values of a flag and parts of stored cases' names.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", "no fault", nil, nil},
		{"rack", "a rack's machines fail silently, discovery reports it 2 s later", nil, (*Model).failRack},
		{"zone", "a zone's machines fail for 4 s and return in slow start; its traffic goes to the other zones meanwhile",
			zoneFailureRateFactor, (*Model).failZone},
		{"half", "every second server of each service fails for 5 s and returns in slow start", nil, (*Model).failHalf},
		{"region", "a region is partitioned from all others for 6 s, in both directions; endpoint lists stay the same", nil, (*Model).partitionRegion},
		{"replace", "8% of the servers are replaced within 3 s by new ones, which are in slow start", nil,
			func(m *Model) { m.replaceServers(replacedShare) }},
		{"cold", "all servers of a zone and a tenth of the agents restart at once, under a burst of one and a half " +
			"times the rate", func(*Config) float64 { return burstRateFactor }, (*Model).restartZone},
		{"start", "all servers and all agents restart at once", nil, (*Model).restartAll},
	}
}

// FindScenario returns the scenario with a name. An error is a *fleet.UsageError.
func FindScenario(name string) (Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, fleet.NewUsageError("scenarios", "%q is none of %s", name, fmt.Sprint(names))
}

// Run runs the scenario on a new fleet: SettleS without the fault, then the given number of seconds,
// then finishS without new requests. The returned figures leave out SettleS. Run returns an error of
// New, or one that wraps the cause of ctx.
func (s Scenario) Run(ctx context.Context, cfg Config, seconds float64, log *slog.Logger) (*fleet.Case, error) {
	if s.maxRateFactor != nil {
		cfg.MaxRateFactor = s.maxRateFactor(&cfg)
	}
	m, err := New(cfg)
	if err != nil {
		return nil, err
	}
	m.boot()
	if err := m.run(ctx, SettleS); err != nil {
		return nil, err
	}
	m.firstAttemptWaits, m.maxQueued = newWaitHistogram(), 0
	m.goodputs.reset(&m.cfg, m.now)
	if s.inject != nil {
		s.inject(m)
	}
	for elapsed := 0.0; elapsed < seconds; elapsed++ {
		if err := m.run(ctx, min(1, seconds-elapsed)); err != nil {
			return nil, err
		}
		second := m.secondOf(m.now - 1)
		log.Info("ran one second of a scenario", "scenario", s.Name, "s", m.sinceStart(), "offered", second.Requests,
			"withinObjective", second.WithinObjective, "attempts", second.Attempts)
	}
	m.stopped = true
	if err := m.run(ctx, finishS); err != nil {
		return nil, err
	}
	return m.figures(s.Name), nil
}

// AddBaseline runs the scenario with another configuration and adds its goodput to the result: that
// of all requests and that of each class, tenant and effect.
func (s Scenario) AddBaseline(ctx context.Context, cfg Config, seconds float64, log *slog.Logger, result *fleet.Case) error {
	baseline, err := s.Run(ctx, cfg, seconds, log)
	if err != nil {
		return err
	}
	for _, figure := range baseline.Figures {
		if figure.Name == FigureGoodput || strings.HasPrefix(figure.Name, servedPrefix) {
			result.Add(figure.Name+", seen late", figure.Unit, figure.Value)
		}
	}
	return nil
}

// sinceStart returns the virtual time since StartMs in seconds.
func (m *Model) sinceStart() float64 { return (m.now - StartMs) / 1000 }
