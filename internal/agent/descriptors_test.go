package agent

import (
	"context"
	"net"
	"testing"
	"time"
)

// A call of discovery that is given up while its connection comes up leaves no dial behind: a
// discovery that was cut off would cost a descriptor a call, for minutes.
func TestGivenUpCallStopsDialling(t *testing.T) {
	for _, call := range []string{"watch", "fetch"} {
		t.Run(call, func(t *testing.T) {
			told := make(chan input, 10)
			d := newDiscovery(t.Context(), nowhere, 0, func(in input) { told <- in })
			dialling, ended := make(chan struct{}), make(chan struct{})
			d.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			if call == "watch" {
				d.firstWordTimeout = time.Millisecond
				go d.watch(1, false)
			} else {
				go d.fetch(false)
				<-dialling
				d.close()
			}
			if in := await(t, told); in.err == nil {
				t.Fatalf("told %+v", in)
			}
			select {
			case <-ended:
			case <-time.After(noAnswer):
				t.Fatal("still dials for a call that was given up")
			}
		})
	}
}

// closingConn tells when a client's connection is closed.
type closingConn struct {
	net.Conn
	closing func()
}

func (c closingConn) Close() error {
	c.closing()
	return c.Conn.Close()
}

// A place is free when the descriptor is: given to a new connection before, both would be open.
func TestPlaceIsHeldUntilTheDescriptorIsClosed(t *testing.T) {
	p := newClientTable(1, 1)
	server, client := net.Pipe()
	defer client.Close()
	closed := false
	c := &clientConn{table: p, Conn: closingConn{server, func() {
		if closed = true; p.count() != 1 {
			t.Error("its place is free while it is still open")
		}
	}}}
	if !p.acquire(c, time.Now()) {
		t.Fatal("no place though there is room")
	}
	if err := c.Close(); err != nil || !closed || p.count() != 0 {
		t.Fatalf("closed %v, %v; %d places taken", closed, err, p.count())
	}
}
