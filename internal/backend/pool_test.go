package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// restingPool is a pool that may open extra connections to its one backend and whose rests
// do not end by themselves: rested ends them.
func restingPool(t *testing.T) (backend *Conns, conns *connections, rested chan time.Time) {
	t.Helper()
	addr := agenttest.RawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := agenttest.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, agenttest.OKAnswer)
		}
	})
	conns = &connections{}
	pool := testPool()
	pool.settings.ExtraConns, pool.DialContext = true, conns.connect
	rested = make(chan time.Time)
	pool.after = func(time.Duration) <-chan time.Time { return rested }
	backend = pool.NewConns(addr)
	t.Cleanup(backend.CloseIdle)
	return backend, conns, rested
}

// connections opens connections and counts them.
type connections struct {
	begun atomic.Int32
	fail  atomic.Bool
	held  chan struct{} // where set, each after the first comes up when it is closed
}

func (c *connections) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if n := c.begun.Add(1); n > 1 && c.fail.Load() {
		return nil, errors.New("no room")
	} else if n > 1 && c.held != nil {
		<-c.held // whatever became of the attempt
	}
	return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
}

// rests makes all idle connections rest however slow the test is.
func (b *Conns) rests() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	for _, c := range b.idle {
		c.since = time.Now().Add(agenttest.Never)
	}
}

func (b *Conns) served(t *testing.T) {
	t.Helper()
	if res := newAttempt(b, http.MethodPost, agenttest.NoAnswerTimeout).Run(); res.Status != policy.StatusOK {
		t.Fatalf("ended %d", res.Status)
	}
}

func (b *Conns) idleAndOpen() (idle, open int) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	return len(b.idle), b.pool.open
}

// An attempt does not wait out the rest of the only connection: an extra one is opened, the
// resting one stays as it is, and there is never a third for attempts one after the other.
func TestRestIsNotWaitedOut(t *testing.T) {
	backend, conns, rested := restingPool(t)
	backend.served(t)
	backend.rests()
	first := backend.idle[0]
	since := first.since
	backend.served(t)
	if idle, open := backend.idleAndOpen(); idle != 2 || open != 2 || conns.begun.Load() != 2 {
		t.Fatalf("%d idle of %d, %d opened", idle, open, conns.begun.Load())
	}
	if !first.since.Equal(since) || first.idleFor != 0 {
		t.Error("the connection at rest was used, or its rest begun again")
	}
	backend.rests()
	close(rested) // both rest now: the third attempt waits
	backend.served(t)
	if idle, open := backend.idleAndOpen(); idle != 2 || open != 2 || conns.begun.Load() != 2 {
		t.Errorf("after a third: %d idle of %d, %d opened", idle, open, conns.begun.Load())
	}
}

// Attempts side by side have one extra connection between them at the most.
func TestOneExtraConnection(t *testing.T) {
	backend, _, rested := restingPool(t)
	close(rested)
	const side = 8
	for range 30 {
		var wg sync.WaitGroup
		for range side {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if res := newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run(); res.Status != policy.StatusOK {
					t.Errorf("ended %d", res.Status)
				}
			}()
		}
		wg.Wait()
		backend.rests()
	}
	agenttest.Eventually(t, "nothing on its way", func() bool {
		idle, open := backend.idleAndOpen()
		return idle == open
	})
	if _, open := backend.idleAndOpen(); open > side+1 {
		t.Errorf("%d connections for %d attempts", open, side)
	}
}

// Where connections have a price, or no descriptor is left, the rest is waited out.
func TestRestIsWaitedOutWithoutAnExtra(t *testing.T) {
	for name, set := range map[string]func(p *Pool){
		"priced":        func(p *Pool) { p.settings.ExtraConns = false },
		"no descriptor": func(p *Pool) { p.settings.MaxConns = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			backend, conns, rested := restingPool(t)
			set(backend.pool)
			backend.served(t)
			backend.rests()
			close(rested)
			backend.served(t)
			if n := conns.begun.Load(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// An extra connection that does not come up fails no attempt, and is not tried again soon.
func TestExtraConnectionThatFails(t *testing.T) {
	backend, conns, rested := restingPool(t)
	conns.fail.Store(true)
	backend.served(t)
	for range 2 {
		backend.rests()
		done := make(chan Result, 1)
		go func() { done <- newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run() }()
		agenttest.Eventually(t, "the end of the connect", func() bool {
			_, open := backend.idleAndOpen()
			return conns.begun.Load() == 2 && open == 1
		})
		rested <- time.Now()
		if res := <-done; res.Status != policy.StatusOK {
			t.Fatalf("ended %d", res.Status)
		}
	}
	if n := conns.begun.Load(); n != 2 {
		t.Errorf("%d connects", n)
	}
}

// An extra connection that comes up after the rest joins the idle ones.
func TestLateExtraConnectionIsKept(t *testing.T) {
	backend, conns, rested := restingPool(t)
	conns.held = make(chan struct{})
	backend.served(t)
	backend.rests()
	done := make(chan Result, 1)
	go func() { done <- newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run() }()
	agenttest.Eventually(t, "a connect", func() bool { return conns.begun.Load() == 2 })
	rested <- time.Now()
	if res := <-done; res.Status != policy.StatusOK {
		t.Fatalf("ended %d", res.Status)
	}
	close(conns.held)
	agenttest.Eventually(t, "both idle", func() bool {
		idle, open := backend.idleAndOpen()
		return idle == 2 && open == 2
	})
}

// A panic in the opening of an extra connection fails no attempt: the attempt goes out after the rest,
// its result reports the panic once, and the pool counts no connection for it.
func TestExtraConnectionThatPanics(t *testing.T) {
	backend, conns, rested := restingPool(t)
	backend.served(t)
	backend.rests()
	backend.pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
		conns.begun.Add(1)
		panic("boom")
	}
	done := make(chan Result, 1)
	go func() { done <- newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run() }()
	agenttest.Eventually(t, "the panic", func() bool {
		backend.pool.mu.Lock()
		defer backend.pool.mu.Unlock()
		return backend.panicked != nil
	})
	rested <- time.Now()
	if res := <-done; res.Status != policy.StatusOK || res.Panic == nil {
		t.Fatalf("ended %d, broken by %v", res.Status, res.Panic)
	}
	if idle, open := backend.idleAndOpen(); idle != 1 || open != 1 || backend.opening {
		t.Errorf("%d idle of %d, opening %v", idle, open, backend.opening)
	}
	backend.rests()
	close(rested)
	if res := newAttempt(backend, http.MethodPost, agenttest.NoAnswerTimeout).Run(); res.Status != policy.StatusOK || res.Panic != nil {
		t.Errorf("the next ended %d, broken by %v", res.Status, res.Panic)
	}
	if n := conns.begun.Load(); n != 2 {
		t.Errorf("%d connects: one that panicked is tried again at once", n)
	}
}
