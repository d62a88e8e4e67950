package model

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"ploverreel/internal/fleet"
)

// Day is a scenario: a fault of a fleet, or none.
type Day struct {
	Name     string
	Help     string
	peakRate func(cfg *Config) float64 // the most that its bursts multiply the rate by; nil: it has none
	begin    func(m *Model)            // begins its fault; nil: it has none
}

// Days are all scenarios.
func Days() []Day {
	return []Day{
		{"calm", "nothing happens", nil, nil},
		{"rack", "a rack's machines vanish silently, discovery tells 2 s later", nil, (*Model).loseRack},
		{"zone", "a zone's machines vanish for 4 s and return cold; its traffic goes to the others meanwhile",
			lostZonePeak, (*Model).loseZone},
		{"half", "every second server of each service vanishes for 5 s and returns cold", nil, (*Model).loseHalf},
		{"region", "a region reaches no other for 6 s, both ways; lists stay as they are", nil, (*Model).cutRegion},
		{"replace", "8% of the servers are replaced within 3 s by new ones, which are cold", nil,
			func(m *Model) { m.replace(replacedShare) }},
		{"cold", "a zone's servers all start anew at once, a tenth of the agents as well, under a burst of half as " +
			"much again", func(*Config) float64 { return burstFactor }, (*Model).coldZone},
		{"start", "all servers and all agents start anew at once", nil, (*Model).startAll},
	}
}

// FindDay is the day of that name.
func FindDay(name string) (Day, error) {
	var names []string
	for _, d := range Days() {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return Day{}, fleet.Usage("days", "%q is none of %s", name, fmt.Sprint(names))
}

// Play plays the day on a new fleet for so many seconds after SettleS, and counts them. Its error is
// that of New or the cause of ctx.
func (d Day) Play(ctx context.Context, cfg Config, seconds float64, log *slog.Logger) (*fleet.Case, error) {
	if d.peakRate != nil {
		cfg.Peak = d.peakRate(&cfg)
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
	m.shares.begin(&m.cfg, m.now)
	if d.begin != nil {
		d.begin(m)
	}
	for played := 0.0; played < seconds; played++ {
		if err := m.play(ctx, min(1, seconds-played)); err != nil {
			return nil, err
		}
		second := m.secondOf(m.now - 1)
		log.Info("played", "day", d.Name, "s", m.sinceStart(), "asked", second.Requests,
			"won", second.WithinObjective, "attempts", second.Attempts)
	}
	m.stopped = true
	if err := m.play(ctx, drainS); err != nil {
		return nil, err
	}
	return m.figures(d.Name), nil
}

// Compare plays the day under another configuration and adds to c what that serves of each
// class, tenant and effect.
func (d Day) Compare(ctx context.Context, cfg Config, seconds float64, log *slog.Logger, result *fleet.Case) error {
	other, err := d.Play(ctx, cfg, seconds, log)
	if err != nil {
		return err
	}
	for _, figure := range other.Figures {
		if figure.Name == "worth served" || strings.HasPrefix(figure.Name, servedOf) {
			result.Add(figure.Name+", seen late", figure.Unit, figure.Value)
		}
	}
	return nil
}

func (m *Model) sinceStart() float64 { return (m.now - Start) / 1000 }
