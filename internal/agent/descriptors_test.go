package agent

import (
	"net"
	"testing"
	"time"
)

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
