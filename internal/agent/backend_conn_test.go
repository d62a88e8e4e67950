package agent

import (
	"context"
	"net"
	"sync"
)

// connector opens connections, as a pool does.
type connector func(ctx context.Context, network, addr string) (net.Conn, error)

// readCounter tells when so many bytes were read from a connection.
type readCounter struct {
	net.Conn
	left int
	done chan struct{}
	once sync.Once
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.left -= n; c.left <= 0 {
		c.once.Do(func() { close(c.done) })
	}
	return n, err
}

// wholeReads closes read when so many bytes were read from the one connection that is opened.
func wholeReads(connect connector, bytes int, read chan struct{}) connector {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		return &readCounter{Conn: c, left: bytes, done: read}, err
	}
}
