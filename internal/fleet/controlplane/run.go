package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	// pause keeps changes apart, so that one does not ride on the other.
	pause = 300 * time.Millisecond
	// restarted is the part of the agents that restart at once.
	restarted = 0.1
	// sweepAgents is the part of the agents that the sweep over lists runs with.
	sweepAgents = 0.25
)

// sweepParts are the parts of the size that the slopes are fitted through.
var sweepParts = []float64{0.125, 0.25, 0.5, 0.75}

// The names of the cases.
const (
	caseAgents  = "agents"  // the calm fleet at several numbers of agents
	caseServers = "servers" // the same at several lengths of the list
	caseTarget  = "target"  // the calm fleet at the size asked for
)

// Run plays the plan in processes that spawn starts, and returns its cases and the lines fitted
// through them. All processes have ended when it returns. With an error (an invalid plan, a process
// that died, the context's cause) it returns the cases that were played before it.
func Run(ctx context.Context, log *slog.Logger, plan *Plan, spawn Spawn) ([]fleet.Case, []fleet.Fit, error) {
	if err := plan.Validate(); err != nil {
		return nil, nil, err
	}
	var cases []fleet.Case
	play := func(name string, p Plan, more func(*fleetRun) ([]fleet.Case, error)) error {
		log.Info("fleet begins", "case", name, "agents", p.Size.Agents, "servers", p.Size.Servers)
		got, err := playFleet(ctx, log, name, &p, spawn, more)
		cases = append(cases, got...)
		return err
	}
	if plan.Sweep {
		for _, part := range sweepParts {
			p := plan.with(part, 1)
			if err := play(caseAgents, p, nil); err != nil {
				return cases, nil, err
			}
		}
		for _, part := range append(sweepParts[:len(sweepParts):len(sweepParts)], 1) {
			p := plan.with(sweepAgents, part)
			if err := play(caseServers, p, nil); err != nil {
				return cases, nil, err
			}
		}
	}
	var faults func(*fleetRun) ([]fleet.Case, error)
	if plan.Faults {
		faults = func(f *fleetRun) ([]fleet.Case, error) { return f.faults(ctx) }
	}
	if err := play(caseTarget, *plan, faults); err != nil {
		return cases, nil, err
	}
	if !plan.Sweep {
		return cases, nil, nil
	}
	return cases, fit(log, cases, plan.Size), nil
}

// fit draws the slopes: of what grows with the agents, and of what grows with the list. A
// figure that too few of the fleets have, as agents were not reached, has none.
func fit(log *slog.Logger, cases []fleet.Case, size fleet.Size) []fleet.Fit {
	named := func(names ...string) (some []fleet.Case) {
		for _, c := range cases {
			for _, name := range names {
				if c.Name == name {
					some = append(some, c)
				}
			}
		}
		return some
	}
	var fits []fleet.Fit
	for _, of := range []struct {
		cases   []fleet.Case
		over    string
		target  int
		figures []string
	}{
		{named(caseAgents, caseTarget), "agents", size.Agents, []string{"first_p99", "change_p99", "change_all",
			"calm_standin_cpu_share", "calm_standin_bytes_s", "start_standin_cpu", "change_standin_cpu", "standin_rss"}},
		{named(caseServers), "servers", size.Servers, []string{"start_agent_bytes", "start_agent_cpu", "start_agent_allocated",
			"change_agent_cpu", "agent_heap", "agent_rss"}},
	} {
		for _, figure := range of.figures {
			f, err := fleet.FitLine(of.cases, figure, of.over, float64(of.target))
			if err != nil {
				log.Warn("no slope", "err", err)
				continue
			}
			fits = append(fits, f)
		}
	}
	return fits
}

// playFleet runs one fleet: its start, a calm span, changes, and what more there is.
func playFleet(ctx context.Context, log *slog.Logger, name string, p *Plan, spawn Spawn, more func(*fleetRun) ([]fleet.Case, error)) (cases []fleet.Case, err error) {
	f := &fleetRun{plan: p, log: log, spawn: spawn, rng: rand.New(rand.NewPCG(p.Size.Seed, 2))}
	defer f.end()
	c, err := f.calm(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	cases = append(cases, c)
	if more == nil {
		return cases, nil
	}
	got, err := more(f)
	return append(cases, got...), err
}

func (f *fleetRun) newCase(name string) fleet.Case {
	p := f.plan
	return fleet.Case{Name: name, Params: map[string]float64{"agents": float64(p.Size.Agents), "servers": float64(p.Size.Servers),
		"standins": float64(p.StandIns * p.Size.Regions), "regions": float64(p.Size.Regions), "zones": float64(p.Size.Zones)}}
}

// calm starts the fleet and measures it without faults.
func (f *fleetRun) calm(ctx context.Context, name string) (fleet.Case, error) {
	c, p := f.newCase(name), f.plan
	if err := f.start(ctx); err != nil {
		return c, err
	}
	every, began := f.agents(everywhere), f.began
	if _, err := f.await(ctx, every, 1, began); err != nil {
		return c, err
	}
	first := newDelays()
	if err := first.add(f, every, 1, began, func(a int) time.Time {
		return began.Add(p.Spread * time.Duration(a) / time.Duration(p.Size.Agents))
	}); err != nil {
		return c, err
	}
	first.addTo(&c, "first")
	if err := f.addCosts(ctx, &c, "start"); err != nil {
		return c, err
	}
	if err := f.addMemory(ctx, &c); err != nil {
		return c, err
	}
	if first.without == p.Size.Agents { // else it is a figure, as in any other phase
		return c, fmt.Errorf("start: no agent had a list after %v", p.Limit)
	}
	if err := f.beginPhase(ctx); err != nil {
		return c, err
	}
	if err := sleep(ctx, p.Calm); err != nil {
		return c, err
	}
	if err := f.addCosts(ctx, &c, "calm"); err != nil {
		return c, err
	}
	if err := f.beginPhase(ctx); err != nil {
		return c, err
	}
	took := newDelays()
	for range p.Changes {
		if err := f.measured(ctx, took, every, f.randomChange()); err != nil {
			return c, err
		}
		if err := sleep(ctx, pause); err != nil {
			return c, err
		}
	}
	took.addTo(&c, "change")
	c.Add("changes", "count", float64(p.Changes))
	return c, f.addCosts(ctx, &c, "change")
}

// measured makes a change and adds the delays until it is in force at the agents.
func (f *fleetRun) measured(ctx context.Context, t *delays, agents []int, hosts ...endpointlist.Host) error {
	seq, made, err := f.change(ctx, hosts...)
	if err != nil {
		return err
	}
	if _, err := f.await(ctx, agents, seq, made); err != nil {
		return err
	}
	return t.add(f, agents, seq, made, since(made))
}

func since(t time.Time) func(int) time.Time { return func(int) time.Time { return t } }

// faults plays one fault after the other; each is a case.
func (f *fleetRun) faults(ctx context.Context) ([]fleet.Case, error) {
	type fault struct {
		name string
		play func(context.Context, *fleet.Case) error
	}
	list := []fault{{"stand-in killed", f.killed}, {"a tenth restarted", f.restart}, {"discovery silent", f.silence},
		{"zone lost and back", f.zone}}
	if f.plan.Size.Regions > 1 { // else nobody would be left to compare with
		list = append(list, fault{"region cut off", f.cutOff})
	}
	var cases []fleet.Case
	for _, fault := range list {
		f.log.Info("fault begins", "case", fault.name)
		c := f.newCase(fault.name)
		err := f.beginPhase(ctx)
		if err == nil {
			err = fault.play(ctx, &c)
		}
		if err != nil {
			return cases, fmt.Errorf("%s: %w", fault.name, err)
		}
		cases = append(cases, c)
	}
	return cases, nil
}

// killed kills a stand-in and makes a change without it. An agent's configuration names one
// address, so that its agents get the change when another stand-in is there.
func (f *fleetRun) killed(ctx context.Context, c *fleet.Case) error {
	m := f.standIns[0]
	m.kill()
	m.Process = nil
	gone := time.Now()
	if err := sleep(ctx, pause); err != nil {
		return err
	}
	theirs := f.agents(func(s int) bool { return s == 0 })
	others := f.agents(func(s int) bool { return s != 0 })
	took := newDelays()
	seq, made, err := f.change(ctx, f.randomChange())
	if err != nil {
		return err
	}
	if _, err := f.await(ctx, others, seq, made); err != nil {
		return err
	}
	if err := took.add(f, others, seq, made, since(made)); err != nil {
		return err
	}
	took.addTo(c, "others")
	if err := sleep(ctx, f.plan.Down-time.Since(gone)); err != nil {
		return err
	}
	if err := f.poll(ctx, false); err != nil {
		return err
	}
	during := newDelays()
	if err := during.add(f, theirs, seq, made, since(made)); err != nil {
		return err
	}
	c.Add("down", "s", time.Since(gone).Seconds())
	c.Add("theirs_without_while_down", "count", float64(during.without))
	if err := f.next(ctx, c, "down"); err != nil {
		return err
	}
	// Agents may be there before the stand-in says that it listens: theirs takes no time.
	begun := time.Now()
	if err := f.open(ctx, m); err != nil {
		return err
	}
	return f.recovered(ctx, c, "back", theirs, seq, begun, time.Now())
}

// next ends one phase of a fault and begins the next.
func (f *fleetRun) next(ctx context.Context, c *fleet.Case, prefix string) error {
	if err := f.addCosts(ctx, c, prefix); err != nil {
		return err
	}
	return f.beginPhase(ctx)
}

// recovered ends a fault: how long after its end a version is in force at agents that could
// not get it before from, and what that took.
func (f *fleetRun) recovered(ctx context.Context, c *fleet.Case, prefix string, agents []int, seq int64, from, end time.Time) error {
	took := newDelays()
	if _, err := f.await(ctx, agents, seq, from); err != nil {
		return err
	}
	if err := took.add(f, agents, seq, from, since(end)); err != nil {
		return err
	}
	took.addTo(c, prefix)
	return f.addCosts(ctx, c, prefix)
}

// restart restarts a part of the agents at once, each without a list.
func (f *fleetRun) restart(ctx context.Context, c *fleet.Case) error {
	some := f.agentsSample(restarted)
	chosen := map[int]bool{}
	for _, a := range some {
		chosen[a] = true
	}
	seq, _, _ := f.source.state()
	now := time.Now()
	if err := f.forEach(len(f.workers), func(i int) error {
		cmd := &command{Op: opRestart}
		for _, a := range f.workers[i].agents {
			if chosen[a] {
				cmd.Agents = append(cmd.Agents, a)
			}
		}
		_, err := f.workers[i].call(ctx, cmd)
		return err
	}); err != nil {
		return err
	}
	return f.recovered(ctx, c, "restart", some, seq, now, now)
}

// silence lets all of discovery fall silent, changes the list meanwhile, and measures from
// the end of the silence.
func (f *fleetRun) silence(ctx context.Context, c *fleet.Case) error {
	quiet := func(on bool) error {
		return f.forEach(len(f.standIns), func(i int) error {
			_, err := f.standIns[i].call(ctx, &command{Op: opSilence, Silent: on})
			return err
		})
	}
	if err := quiet(true); err != nil {
		return err
	}
	began := time.Now()
	if err := sleep(ctx, min(time.Second, f.plan.Silent/2)); err != nil {
		return err
	}
	seq, _, err := f.change(ctx, f.randomChange())
	if err != nil {
		return err
	}
	if err := sleep(ctx, f.plan.Silent-time.Since(began)); err != nil {
		return err
	}
	c.Add("silent", "s", time.Since(began).Seconds())
	if err := f.next(ctx, c, "silent"); err != nil {
		return err
	}
	now := time.Now()
	if err := quiet(false); err != nil {
		return err
	}
	return f.recovered(ctx, c, "back", f.agents(everywhere), seq, now, now)
}

// zone takes a zone's servers off the list in one change, and brings them back as new
// processes in another.
func (f *fleetRun) zone(ctx context.Context, c *fleet.Case) error {
	every := f.agents(everywhere)
	for _, half := range []struct{ prefix, health string }{{"gone", "gone"}, {"back", "ready"}} {
		var hosts []endpointlist.Host
		for i, h := range f.plan.hosts() {
			if f.plan.zoneOf(i) == 0 {
				h.Health = half.health
				if h.Health == "ready" {
					h.BornMs = float64(time.Now().UnixMilli())
				}
				hosts = append(hosts, h)
			}
		}
		took := newDelays()
		if err := f.measured(ctx, took, every, hosts...); err != nil {
			return err
		}
		took.addTo(c, half.prefix)
		c.Add(half.prefix+"_servers", "count", float64(len(hosts)))
		if err := sleep(ctx, pause); err != nil {
			return err
		}
		if err := f.next(ctx, c, half.prefix); err != nil {
			return err
		}
	}
	return nil
}

// cutOff cuts a region's stand-ins off the source of truth. They go on telling what they
// have; discovery's protocol has no word for how old that is, so only the stand-ins know.
func (f *fleetRun) cutOff(ctx context.Context, c *fleet.Case) error {
	inside := func(s int) bool { return s < f.plan.StandIns }
	if err := f.send(ctx); err != nil { // the source's last word before the cut
		return err
	}
	for i, m := range f.standIns {
		m.cut = inside(i)
	}
	began, took := time.Now(), newDelays()
	others := f.agents(func(s int) bool { return !inside(s) })
	changes := 0
	for changes == 0 || time.Since(began) < f.plan.Cut {
		if err := f.measured(ctx, took, others, f.randomChange()); err != nil {
			return err
		}
		changes++
		left := f.plan.Cut - time.Since(began)
		if err := sleep(ctx, min(f.plan.CutEvery, left)); err != nil {
			return err
		}
	}
	took.addTo(c, "others")
	c.Add("changes", "count", float64(changes))
	c.Add("cut", "s", time.Since(began).Seconds())
	if err := f.pollStandIns(ctx); err != nil {
		return err
	}
	oldest := int64(0)
	for _, m := range f.standIns {
		if m.cut {
			oldest = max(oldest, m.last.AgeMs)
		}
		m.cut = false
	}
	c.Add("cut_list_age", "s", float64(oldest)/1000)
	if err := f.next(ctx, c, "cut"); err != nil {
		return err
	}
	seq, _, _ := f.source.state()
	now := time.Now()
	if err := f.send(ctx); err != nil {
		return err
	}
	return f.recovered(ctx, c, "healed", f.agents(inside), seq, now, now)
}

// Notes are the sentences in a result that say how its figures were measured and what they leave out.
func Notes(p *Plan) []string {
	notes := []string{
		"Simulated agents: the real watch code and module without clients, so without a request's work. Their processor time and memory are shares of a process with many of them; what a process of Go holds by itself is left out.",
		"Bytes are those of HTTP as the stand-ins read and wrote them, without TCP and IP. Processor time is user and system time of the processes, with the bench's own questions in it.",
		"Times are from the moment at which the source of truth has a change to the moment at which an agent's module has it; all clocks are one machine's. All processes share it, so that a whole list for everybody at once waits for processors that the fleet would have: starts are spread by --spread, and a first list's time counts from its agent's own start.",
		"..._late is the longest that a process of the bench waited for a processor in that phase: times of that length say nothing of the fleet, and a wait of a second or more ends watches, whose agents then wait for their turns.",
		"A percentile that stands over all agents is left out where that part did not get the version within the limit; ..._without counts who did not.",
		"All stand-ins share the source's versions. One that was replaced has no changes from before its start and tells the whole list to who has an older version.",
	}
	if p.Scope == ScopeService {
		notes = append(notes, "Lists hold one service's servers: an assumption, as discovery's published protocol tells every agent of all. A change elsewhere is told as a list of no servers, to move the version.")
	}
	if p.Membership == policy.MembershipPushed {
		notes = append(notes, "Membership pushed means a discovery on the agent's own machine. Here the stand-ins play it for many agents.")
	}
	return notes
}
