package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// A call of discovery that is given up while it connects ends its dial: with a discovery that is
// cut off from the network each call would otherwise hold a descriptor for minutes.
func TestGivenUpCallStopsDialling(t *testing.T) {
	for _, call := range []string{"watch", "fetch"} {
		t.Run(call, func(t *testing.T) {
			told := make(chan input, 10)
			disc := newDiscovery(t.Context(), nowhere, 0, func(in input) { told <- in })
			dialling, ended := make(chan struct{}), make(chan struct{})
			disc.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			if call == "watch" {
				disc.firstWordTimeout = time.Millisecond
				go disc.watch(1, false)
			} else {
				go disc.fetch(false)
				<-dialling
				disc.close()
			}
			if in := await(t, told); in.err == nil {
				t.Fatalf("told %+v", in)
			}
			select {
			case <-ended:
			case <-time.After(agenttest.NoAnswerTimeout):
				t.Fatal("still dials for a call that was given up")
			}
		})
	}
}
