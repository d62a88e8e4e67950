package model

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"ploverreel/internal/fleet"
)

// Scenario describes what happens to a fleet while it is played: a fault, or none.
type Scenario struct {
	Name     string
	Help     string
	peakRate func(cfg *Config) float64 // the most that its bursts multiply the rate by; nil: it has none
	begin    func(m *Model)            // begins its fault; nil: it has none
}

// Scenarios returns all scenarios. Their names are values of a flag, and parts of the names of stored cases.
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

// FindScenario returns the scenario of that name. Its error is a *fleet.UsageError.
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

// Play plays the scenario on a new fleet for so many seconds after SettleS, and returns what was counted in
// them. Its error is that of New or the cause of ctx.
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

// Compare plays the scenario under another configuration and adds the goodput under that to the result: of
// all requests, and of each class, tenant and effect.
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

// sinceStart returns the seconds since Start.
func (m *Model) sinceStart() float64 { return (m.now - StartMs) / 1000 }
