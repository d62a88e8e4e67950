package agent

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// hedgedCall is a call as discovery sees it.
type hedgedCall struct {
	say   chan string   // is written to the agent
	ended chan struct{} // closed when the agent has ended it
}

// hedgeRig is a discovery that serves its calls as the test says, and a watch whose hedges the
// test sets off.
type hedgeRig struct {
	discovery *discovery
	calls     chan hedgedCall
	hedge     chan time.Time     // sets off the next call
	posted    chan input         // what the loop would hear
	delays    chan time.Duration // the waits before the next call
}

func newHedgeRig(t *testing.T, hedgeAfter time.Duration) *hedgeRig {
	rig := &hedgeRig{calls: make(chan hedgedCall, 16), hedge: make(chan time.Time),
		posted: make(chan input, 16), delays: make(chan time.Duration, 16)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := hedgedCall{make(chan string), make(chan struct{})}
		rig.calls <- call
		for {
			select {
			case text := <-call.say:
				fmt.Fprintln(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				close(call.ended)
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	rig.discovery = newDiscovery(t.Context(), server.Listener.Addr().String(), 0, func(in input) { rig.posted <- in })
	t.Cleanup(rig.discovery.close) // before the server's close, which waits for its calls
	rig.discovery.firstWordTimeout, rig.discovery.silence = time.Hour, time.Hour
	rig.discovery.hedgeAfter = hedgeAfter
	rig.discovery.after = func(delay time.Duration) <-chan time.Time {
		rig.delays <- delay
		return rig.hedge
	}
	return rig
}

// isList reports whether an input is a list of that version.
func isList(in input, version int64) bool {
	event, ok := in.(watchEvent)
	return ok && event.list.Seq == version
}

// received is the next item of a channel.
func received[T any](t *testing.T, from <-chan T) (item T) {
	t.Helper()
	select {
	case item = <-from:
	case <-time.After(agenttest.NoAnswerTimeout):
		t.Fatal("nothing came")
	}
	return item
}

const listLine = `{"seq":2,"whole":true,"hosts":[]}`

// A discovery that is slow is heard by the call that was made first, one that was down by the call
// that was made after; the calls beside it end, and the watch goes on.
func TestWatchIsHedged(t *testing.T) {
	for _, answered := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint("call ", answered, " is answered"), func(t *testing.T) {
			rig := newHedgeRig(t, 750*time.Millisecond)
			go rig.discovery.watch(1, false)
			calls := []hedgedCall{received(t, rig.calls)}
			for range 3 {
				if delay := received(t, rig.delays); delay != 750*time.Millisecond {
					t.Fatalf("the next call is made after %v", delay)
				}
				rig.hedge <- time.Time{}
				calls = append(calls, received(t, rig.calls))
			}
			calls[answered].say <- listLine
			if in := received(t, rig.posted); !isList(in, 2) {
				t.Fatalf("got %+v", in)
			}
			for i, call := range calls {
				if i == answered {
					continue
				}
				select {
				case call.say <- listLine: // too late, so the agent ends it
				case <-call.ended:
				}
				received(t, call.ended)
			}
			calls[answered].say <- `{"seq":3,"whole":false,"hosts":[]}`
			if in := received(t, rig.posted); !isList(in, 3) {
				t.Fatalf("got %+v", in)
			}
			if len(rig.delays) > 0 {
				t.Error("more than four calls")
			}
		})
	}
}

// A call that fails ends the watch, with the others, as does one whose first word does not come.
func TestHedgedWatchFailsAsItsCallsDo(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes calls and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	posted := make(chan input, 1)
	d := newDiscovery(t.Context(), silent.Addr().String(), 0, func(in input) { posted <- in })
	d.firstWordTimeout, d.hedgeAfter = 50*time.Millisecond, time.Millisecond
	go d.watch(1, false)
	if in, ended := received(t, posted).(watchEnded); !ended || !errors.Is(in.err, errWatchSilent) || in.endedAfterNotice {
		t.Fatalf("got %+v", in)
	}
	rig := newHedgeRig(t, time.Second)
	go rig.discovery.watch(1, false)
	first := received(t, rig.calls)
	rig.hedge <- time.Time{}
	second := received(t, rig.calls)
	second.say <- "no list"
	if in, ended := received(t, rig.posted).(watchEnded); !ended || in.err == nil {
		t.Fatalf("got %+v", in)
	}
	received(t, first.ended)
}

// Where each call is work for discovery, there is one at a time.
func TestSharedDiscoveryIsCalledOnceAtATime(t *testing.T) {
	rig := newHedgeRig(t, 0)
	go rig.discovery.watch(1, false)
	call := received(t, rig.calls)
	call.say <- listLine
	if in := received(t, rig.posted); !is[watchEvent](in) {
		t.Fatalf("got %+v", in)
	}
	if len(rig.delays) > 0 || len(rig.calls) > 0 {
		t.Error("another call was made or waited for")
	}
}
