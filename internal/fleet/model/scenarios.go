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
	Name     string
	Help     string
	peakRate func(cfg *Config) float64 // maximum factor of its bursts on the rate; nil: no bursts
	begin    func(m *Model)            // begins its fault; nil: no fault
}

// Scenarios returns all scenarios. Their names are values of a flag and parts of stored cases' names.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", "nothing happens", nil, nil},
		{"rack", "a rack's machines fail silently, discovery reports it 2 s later", nil, (*Model).loseRack},
		{"zone", "a zone's machines fail for 4 s and return cold; its traffic goes to the other zones meanwhile",
			lostZonePeak, (*Model).loseZone},
		{"half", "every second server of each service fails for 5 s and returns cold", nil, (*Model).loseHalf},
		{"region", "a region reaches no other for 6 s, both ways; lists stay as they are", nil, (*Model).cutRegion},
		{"replace", "8% of the servers are replaced within 3 s by new ones, which are cold", nil,
			func(m *Model) { m.replace(replacedShare) }},
		{"cold", "a zone's servers all start anew at once, a tenth of the agents as well, under a burst of half as " +
			"much again", func(*Config) float64 { return burstRateFactor }, (*Model).coldZone},
		{"start", "all servers and all agents start anew at once", nil, (*Model).startAll},
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
	return Scenario{}, fleet.Usage("scenarios", "%q is none of %s", name, fmt.Sprint(names))
}

// Play runs the scenario on a new fleet: SettleS without the fault, then the given number of seconds,
// then finishS without new requests. The returned figures leave out SettleS. Play returns an error of
// New, or one that wraps the cause of ctx.
func (s Scenario) Play(ctx context.Context, cfg Config, seconds float64, log *slog.Logger) (*fleet.Case, error) {
	if s.peakRate != nil {
		cfg.Peak = s.peakRate(&cfg)
	}
	m, err := New(cfg)
	if err != nil {
		return nil, err
	}
	m.boot()
	if err := m.play(ctx, SettleS); err != nil {
		return nil, err
	}
	m.waits, m.maxQueued = newWaitHistogram(), 0
	m.goodputs.begin(&m.cfg, m.now)
	if s.begin != nil {
		s.begin(m)
	}
	for played := 0.0; played < seconds; played++ {
		if err := m.play(ctx, min(1, seconds-played)); err != nil {
			return nil, err
		}
		second := m.secondOf(m.now - 1)
		log.Info("played", "scenario", s.Name, "s", m.sinceStart(), "offered", second.Requests,
			"withinObjective", second.WithinObjective, "attempts", second.Attempts)
	}
	m.stopped = true
	if err := m.play(ctx, finishS); err != nil {
		return nil, err
	}
	return m.figures(s.Name), nil
}

// Compare runs the scenario with another configuration and adds its goodput to the result: that of all
// requests and that of each class, tenant and effect.
func (s Scenario) Compare(ctx context.Context, cfg Config, seconds float64, log *slog.Logger, result *fleet.Case) error {
	other, err := s.Play(ctx, cfg, seconds, log)
	if err != nil {
		return err
	}
	for _, figure := range other.Figures {
		if figure.Name == FigureGoodput || strings.HasPrefix(figure.Name, servedPrefix) {
			result.Add(figure.Name+", seen late", figure.Unit, figure.Value)
		}
	}
	return nil
}

// sinceStart returns the virtual time since StartMs in seconds.
func (m *Model) sinceStart() float64 { return (m.now - StartMs) / 1000 }
