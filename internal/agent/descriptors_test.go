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

// closingConn calls a hook before it is closed.
type closingConn struct {
	net.Conn
	closing func()
}

func (c closingConn) Close() error {
	c.closing()
	return c.Conn.Close()
}

// A slot is free once the descriptor is: before that, the old and a new connection would be open at
// once.
func TestPlaceIsHeldUntilTheDescriptorIsClosed(t *testing.T) {
	table := newClientTable(1, 1)
	server, client := net.Pipe()
	defer client.Close()
	closed := false
	conn := &clientConn{table: table, Conn: closingConn{server, func() {
		if closed = true; table.count() != 1 {
			t.Error("its place is free while it is still open")
		}
	}}}
	if !table.acquire(conn, time.Now()) {
		t.Fatal("no place though there is room")
	}
	if err := conn.Close(); err != nil || !closed || table.count() != 0 {
		t.Fatalf("closed %v, %v; %d places taken", closed, err, table.count())
	}
}
