package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"ploverreel/internal/agenttest"
)

// A simulated agent watches like a real agent, reports each list that is applied, and ends
// with its context. The list of its configuration is not reported.
func TestSimulatedAgentReportsAppliedLists(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"ready"}]}`, "\n",
			`{"seq":8,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	type report struct {
		seq   int64
		whole bool
	}
	lists, ended := make(chan report, 100), make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	conf := parseConfig(t, agenttest.Config(server.Listener.Addr().String(), refusingAddr))
	go func() {
		ended <- RunSimulated(ctx, conf, slog.New(slog.DiscardHandler), func(seq int64, whole bool) { lists <- report{seq, whole} })
	}()
	for _, want := range []report{{7, true}, {8, false}} {
		if got := agenttest.Receive(t, lists, "a report of a list"); got != want {
			t.Fatalf("got report %+v, want %+v", got, want)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatalf("got error %v, want none", err)
	}
}
