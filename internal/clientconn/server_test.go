package clientconn

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// testServer is an HTTP server whose connections are in a table, as in an agent. It answers each
// request with 200.
type testServer struct {
	table    *Table
	addr     string
	received chan string // the ids of the requests that were handled
	ended    chan error  // the error of http.Server.Serve
}

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

// serve starts a testServer that ends with the test.
func serve(t *testing.T, table *Table) *testServer {
	t.Helper()
	return serveOn(t, table, func(ln net.Listener) net.Listener { return ln })
}

// serveOn does the same as serve, with the listener that wrap returns for a plain one.
func serveOn(t *testing.T, table *Table, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	s := &testServer{table: table, received: make(chan string, 100), ended: make(chan error, 1)}
	s.start(t, s, wrap)
	return s
}

// serveWith does the same as serve, with another handler.
func serveWith(t *testing.T, table *Table, handler http.Handler) *testServer {
	t.Helper()
	s := &testServer{table: table, ended: make(chan error, 1)}
	s.start(t, handler, func(ln net.Listener) net.Listener { return ln })
	return s
}

// start starts the HTTP server.
func (s *testServer) start(t *testing.T, handler http.Handler, wrap func(net.Listener) net.Listener) {
	t.Helper()
	ln := listen(t)
	s.addr = ln.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: HeadTimeout, ConnState: s.table.OnConnState,
		IdleTimeout: agenttest.LongTimeout, // the table alone ends idle connections
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	t.Cleanup(func() { server.Close() })
	go func() { s.ended <- server.Serve(NewListener(wrap(ln), s.table, slog.New(slog.DiscardHandler))) }()
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*Conn)
	if _, last := conn.BeginRequest(); last || !s.table.MayKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	s.received <- r.Header.Get("Request-Id")
	io.WriteString(w, "done")
}

// onlyConn returns the only connection of a table, or nil if the table is empty.
func onlyConn(table *Table) *Conn {
	table.mu.Lock()
	defer table.mu.Unlock()
	for conn := range table.conns {
		return conn
	}
	return nil
}

// onlyConnIs reports whether the only connection of a table meets a condition, which is called with
// the table's mutex held. It returns false if the table is empty.
func onlyConnIs(table *Table, condition func(conn *Conn) bool) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	for conn := range table.conns {
		return condition(conn)
	}
	return false
}

// readOK reads a response from a connection and fails the test unless its status is 200.
func readOK(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %v, %v; want status 200", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// request sends a request on a new connection, reads the response and returns both.
func (s *testServer) request(t *testing.T, id string) (net.Conn, *http.Response) {
	t.Helper()
	return s.requestOn(t, agenttest.Dial(t, s.addr), id)
}

// requestOn does the same as request on a connection that is open already.
func (s *testServer) requestOn(t *testing.T, conn net.Conn, id string) (net.Conn, *http.Response) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout))
	io.WriteString(conn, agenttest.RequestText("order", id))
	return conn, readOK(t, bufio.NewReader(conn))
}

// listen opens a listener that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// add enters a connection in a table, with one end of a pipe as its socket, and returns the
// client's end.
func add(t *testing.T, table *Table, conn *Conn, now time.Time) net.Conn {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	conn.Conn, conn.table = server, table
	if !table.acquire(conn, now) {
		t.Fatal("got no slot, want one, as the table has a free slot")
	}
	return client
}
