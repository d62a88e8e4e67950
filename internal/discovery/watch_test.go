package discovery

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// startWatch starts a watch of a test server. It returns the call that the server received and the
// channel of results.
func startWatch(t *testing.T) (*agenttest.DiscoveryCall, chan Result) {
	t.Helper()
	server := agenttest.NewDiscovery(t)
	client, results := newClient(t, server.Addr, Shared)
	go client.Watch(1, NoRetry)
	return agenttest.Receive(t, server.Calls, "the call of the watch"), results
}

// Lists may be indented, span many lines, arrive in pieces of any size, or arrive several at once.
func TestWatchReadsListsOverManyLines(t *testing.T) {
	call, results := startWatch(t)
	indented := "{\n  \"seq\": 2,\n\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s-0\",\n" +
		"      \"dial\": \"127.0.0.1:1\",\n      \"health\": \"draining\"\n    }\n  ]\n}\n"
	for _, r := range "\n\n" + indented {
		call.Write <- string(r)
	}
	if got := next[WatchEvent](t, results).List; got.Seq != 2 || got.Hosts[0].Health != "draining" {
		t.Fatalf("got list %+v, want list 2 with a draining host", got)
	}
	two := strings.Replace(agenttest.EndpointChange, `"seq":2`, `"seq":3`, 1) + strings.Replace(indented, `"seq": 2`, `"seq": 4`, 1)
	call.Write <- two + "\n\r\n \t\n"
	for _, want := range []int64{3, 4} {
		if got := next[WatchEvent](t, results).List.Seq; got != want {
			t.Fatalf("got list %d, want %d", got, want)
		}
	}
	close(call.Write)
	if got := next[WatchEnded](t, results).Err; !errors.Is(got, io.EOF) {
		t.Fatalf("got error %v, want %v", got, io.EOF)
	}
}

func TestWatchDeliversTheListsBeforeAnInvalidOne(t *testing.T) {
	client, results := newClient(t, agenttest.ServeLines(t, true, "", agenttest.EndpointChange,
		`{"seq":3,"hosts":[{"host":"s-0","health":"odd"}]}`), Shared)
	client.Watch(1, NoRetry)
	if got := next[WatchEvent](t, results).List; got.Seq != 2 || got.Hosts[0].Health != "draining" {
		t.Fatalf("got list %+v, want list 2 with a draining host", got)
	}
	if got := next[WatchEnded](t, results); got.Err == nil {
		t.Fatal("got no error, want that of the invalid list")
	}
}

func TestWatchEndsAfterIdleTimeout(t *testing.T) {
	client, results := newClient(t, agenttest.ServeLines(t, true, ""), Shared)
	client.idleTimeout = time.Millisecond
	client.Watch(1, NoRetry)
	if got := next[WatchEnded](t, results).Err; !errors.Is(got, errWatchIdle) {
		t.Fatalf("got error %v, want %v", got, errWatchIdle)
	}
}

func TestWatchEndsWithoutFirstByte(t *testing.T) {
	unanswering, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer unanswering.Close()
	client, results := newClient(t, unanswering.Addr().String(), Shared)
	client.firstByteTimeout = time.Millisecond
	go client.Watch(1, NoRetry)
	if got := next[WatchEnded](t, results); !errors.Is(got.Err, errWatchIdle) || got.Established {
		t.Fatalf("got %+v, want %v and a watch that was not established", got, errWatchIdle)
	}
}

func TestWatchEndsAtJSONThatIsNoList(t *testing.T) {
	for _, text := range []string{`{}`, `null`, `{"error":"later"}`, `{"seq":9,"whole":true}`, `[]`, `7`} {
		t.Run(text, func(t *testing.T) {
			call, results := startWatch(t)
			go func() { call.Write <- text + "\n"; close(call.Write) }()
			if got := next[WatchEnded](t, results); got.Err == nil || got.Established {
				t.Fatalf("got %+v, want an error and a watch that was not established", got)
			}
		})
	}
}

// After a watch that had worked, the decision module opens the next one without the backoff of a
// failed call. A watch that received a list has worked, however soon it ended.
func TestWatchIsEstablishedIfItHadWorked(t *testing.T) {
	for _, c := range []struct {
		name        string
		text        string
		idleTimeout time.Duration
		want        bool
	}{
		{"a list, open for long", agenttest.EndpointChange + "\n", time.Nanosecond, true},
		{"no list, open for long", "\n", time.Nanosecond, true},
		{"a list, ended at once", agenttest.EndpointChange + "\n", agenttest.LongTimeout, true},
		{"no list, ended at once", "\n", agenttest.LongTimeout, false},
		{"nothing", "", time.Nanosecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := agenttest.NewDiscovery(t)
			client, _ := newClient(t, server.Addr, Shared)
			go func() {
				call := <-server.Calls
				if c.text != "" {
					call.Write <- c.text
				}
				close(call.Write)
			}()
			if result := client.watchHedged(1, NoRetry); result.established(c.idleTimeout) != c.want {
				t.Fatalf("got the opposite, want established %v of %+v", c.want, result)
			}
		})
	}
}
