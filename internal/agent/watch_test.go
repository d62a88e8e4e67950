package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// spoken is a discovery whose watch writes what it is given, piece by piece, until the channel of
// pieces is closed; then the watch ends. What the calls post comes by the other channel.
func spoken(t *testing.T) (*discovery, chan input, chan string) {
	t.Helper()
	pieces := make(chan string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		for {
			select {
			case text, more := <-pieces:
				if !more {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	posted := make(chan input, 100)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); s.Close() })
	return newDiscovery(ctx, s.Listener.Addr().String(), 0, func(in input) { posted <- in }), posted, pieces
}

// await takes the next input that a call posts.
func await(t *testing.T, posted chan input) inputContents {
	t.Helper()
	select {
	case in := <-posted:
		return contentsOf(in)
	case <-time.After(agenttest.NoAnswerTimeout):
		t.Fatal("posted nothing")
		panic("unreachable")
	}
}

// Lists may come indented, over many lines, in any pieces, and several at once.
func TestListsOverManyLines(t *testing.T) {
	d, posted, pieces := spoken(t)
	d.firstWordTimeout, d.silence = agenttest.Never, agenttest.Never
	go d.watch(1, false)
	indented := "{\n  \"seq\": 2,\n\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s-0\",\n" +
		"      \"dial\": \"127.0.0.1:1\",\n      \"health\": \"draining\"\n    }\n  ]\n}\n"
	for _, r := range "\n\n" + indented {
		pieces <- string(r)
	}
	if in := await(t, posted); !is[watchEvent](in.input) || in.list.Seq != 2 || in.list.Hosts[0].Health != "draining" {
		t.Fatalf("posted %+v", in)
	}
	two := strings.Replace(change, `"seq":2`, `"seq":3`, 1) + strings.Replace(indented, `"seq": 2`, `"seq": 4`, 1)
	pieces <- two + "\n\r\n \t\n"
	for _, seq := range []int64{3, 4} {
		if in := await(t, posted); !is[watchEvent](in.input) || in.list.Seq != seq {
			t.Fatalf("posted %+v, want list %d", in, seq)
		}
	}
	close(pieces)
	if in := await(t, posted); !is[watchEnded](in.input) || !errors.Is(in.err, io.EOF) {
		t.Fatalf("posted %+v", in)
	}
}

// A list that has begun and does not come to its end counts as silence, however much
// white space comes, and no list may be longer than any may be.
func TestListWithoutEnd(t *testing.T) {
	t.Run("drip", func(t *testing.T) {
		heard := 0
		f := &listReader{heard: func() { heard++ }}
		for _, text := range []string{"\n", "\n", "{\n", " \n", "\n", "\"seq\":2", "\n"} {
			f.from = strings.NewReader(text)
			if _, err := f.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		if heard != 3 { // the last one begins the list
			t.Fatalf("%d signs of life, want 3", heard)
		}
		if f.next(strings.NewReader("\n")); f.begun != 0 || heard != 4 {
			t.Fatal("after a list it counts again")
		}
		if f.next(strings.NewReader(" {")); f.begun == 0 {
			t.Fatal("the next list has begun")
		}
	})
	t.Run("length", func(t *testing.T) {
		d, posted, pieces := spoken(t)
		d.firstWordTimeout, d.silence = agenttest.Never, agenttest.Never
		go d.watch(1, false)
		go func() {
			pieces <- `{"seq":2,"more":"`
			for {
				select {
				case pieces <- strings.Repeat("x", 1<<16):
				case <-d.ctx.Done():
					return
				}
			}
		}()
		if in := await(t, posted); !is[watchEnded](in.input) || !errors.Is(in.err, errListTooLong) {
			t.Fatalf("posted %+v", in)
		}
	})
}

// What is no list changes nothing: neither other JSON, nor part of a list in place of the
// whole one.
func TestOtherJSONIsNoList(t *testing.T) {
	for _, text := range []string{`{}`, `null`, `{"error":"later"}`, `{"seq":9,"whole":true}`, `[]`, `7`} {
		d, posted, pieces := spoken(t)
		d.firstWordTimeout, d.silence = agenttest.Never, agenttest.Never
		go d.watch(1, false)
		go func() { pieces <- text + "\n"; close(pieces) }()
		if in := await(t, posted); !is[watchEnded](in.input) || in.err == nil || in.endedAfterNotice {
			t.Fatalf("%s: a watch posted %+v", text, in)
		}
		d, posted = scripted(t, false, text)
		d.fetch(false)
		if in := await(t, posted); !is[endpointsFetched](in.input) || in.err == nil {
			t.Fatalf("%s: a fetch posted %+v", text, in)
		}
	}
	d, posted := scripted(t, false, change)
	d.fetch(false)
	if in := await(t, posted); in.err == nil {
		t.Fatal("a change was taken for the whole list")
	}
}

// Only a watch that had worked ends after a notice: the module opens the next one without a backoff.
// One that delivered a list has worked, however soon it ended: what it should have delivered next
// soon counts as known.
func TestLostWatch(t *testing.T) {
	for _, c := range []struct {
		name    string
		says    string
		silence time.Duration
		want    bool
	}{
		{"lived", change + "\n", time.Nanosecond, true},
		{"lived without a list", "\n", time.Nanosecond, true},
		{"delivered and ended at once", change + "\n", agenttest.Never, true},
		{"ended at once without a list", "\n", agenttest.Never, false},
		{"never spoke", "", time.Nanosecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _, pieces := spoken(t)
			d.firstWordTimeout = agenttest.Never
			go func() {
				if c.says != "" {
					pieces <- c.says
				}
				close(pieces)
			}()
			if w := d.watchHedged(1, false); w.endedAfterNotice(c.silence) != c.want {
				t.Fatalf("ended after a notice is not %v after %+v", c.want, w)
			}
		})
	}
}

// A list that brings nothing new still notifies the module that discovery is there: else the failures
// of a discovery that was down go on counting, and a watch that ends is opened again seconds later.
func TestNothingNewEndsTheFailures(t *testing.T) {
	conf := agenttest.Config(nowhere)
	conf["settings"].(map[string]any)["membershipMode"] = "on_request"
	c := parse(t, conf)
	wait := func(posted bool) time.Duration {
		l, err := newLoop(t.Context(), c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		failed := watchEnded{err: errWatchSilent}
		for range 6 {
			l.handle(failed)
		}
		if posted {
			l.handle(watchEvent{list: endpointlist.List{Seq: l.watch.listVersion, Hosts: []endpointlist.Host{}}})
		}
		l.handle(failed)
		for _, a := range l.actions {
			if a.Kind == policy.ActionSetTimer {
				return config.Milliseconds(a.DelayMs)
			}
		}
		t.Fatalf("no call follows: %+v", l.actions)
		return 0
	}
	if before, now := wait(false), wait(true); before < time.Second || now > time.Second {
		t.Fatalf("a failed call waits for %v, and %v once discovery spoke", before, now)
	}
}

// A discovery on the agent's own machine answers at once: a call to which nothing comes is given up
// soon. Where it is one service for all agents, calls wait in turn.
func TestFirstWordOfAWatch(t *testing.T) {
	for mode, want := range map[string]time.Duration{policy.MembershipPushed: localHedgeDelay, policy.MembershipOnRequest: 0} {
		conf := agenttest.Config(nowhere)
		conf["settings"].(map[string]any)["membershipMode"] = mode
		a, _, _, _ := start(t, conf)
		a.look(func(l *loop) {
			if d := l.watch.discovery; d.hedgeAfter != want || d.firstWordTimeout != firstWordTimeout {
				t.Errorf("%s: waits %v and %v for the first word", mode, d.hedgeAfter, d.firstWordTimeout)
			}
			l.switchDiscovery("127.0.0.1:2")
			if d := l.watch.discovery; d.hedgeAfter != want || d.firstWordTimeout != firstWordTimeout {
				t.Errorf("%s: waits %v and %v after a reload", mode, d.hedgeAfter, d.firstWordTimeout)
			}
		})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // takes the call and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	posted := make(chan input, 1)
	d := newDiscovery(t.Context(), ln.Addr().String(), 0, func(in input) { posted <- in })
	d.firstWordTimeout = time.Millisecond
	go d.watch(1, false)
	if in := await(t, posted); !is[watchEnded](in.input) || !errors.Is(in.err, errWatchSilent) || in.endedAfterNotice {
		t.Fatalf("posted %+v", in)
	}
}

// An answer that points elsewhere is not followed: discovery is where the file says.
func TestDiscoveryIsNotLedAway(t *testing.T) {
	other := make(chan struct{}, 10)
	away := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		other <- struct{}{}
		fmt.Fprintln(w, change)
	}))
	defer away.Close()
	s := httptest.NewServer(http.RedirectHandler(away.URL, http.StatusFound))
	defer s.Close()
	posted := make(chan input, 10)
	d := newDiscovery(t.Context(), s.Listener.Addr().String(), 0, func(in input) { posted <- in })
	d.watch(1, false)
	if in := await(t, posted); !is[watchEnded](in.input) || len(other) > 0 {
		t.Fatalf("posted %+v", in)
	}
}
