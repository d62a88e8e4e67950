package agenttest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// EndpointChange is one line of a discovery watch. It is version 2 of the endpoint list, in which
// the backend s-0 is draining.
const EndpointChange = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// Discovery is a test server for discovery, the service that lists the backends. The test receives
// each call from Calls and writes the response to it. The server is closed at the end of the test.
type Discovery struct {
	Addr  string
	Calls chan *DiscoveryCall
}

// DiscoveryCall is one call to a Discovery. No part of the response, not even its head, is sent
// before the first text on Write.
type DiscoveryCall struct {
	URI   string        // path and query
	Write chan string   // each text is sent and flushed at once; closing it ends the response
	Ended chan struct{} // closed when the caller has cancelled the call
}

// NewDiscovery starts a discovery test server.
func NewDiscovery(t testing.TB) *Discovery {
	d := &Discovery{Calls: make(chan *DiscoveryCall, 16)}
	server := httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(server.Close)
	d.Addr = server.Listener.Addr().String()
	return d
}

// serve writes the texts that the test sends on Write, until the test or the caller ends the call.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	call := &DiscoveryCall{URI: r.URL.RequestURI(), Write: make(chan string), Ended: make(chan struct{})}
	d.Calls <- call
	for {
		select {
		case text, ok := <-call.Write:
			if !ok {
				return
			}
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			close(call.Ended)
			return
		}
	}
}

// ServeLines starts a test server that responds to each call with the lines, and returns its
// address. A response ends after the last line. With keepOpen it ends when the caller cancels the
// call or the test ends.
func ServeLines(t testing.TB, keepOpen bool, lines ...string) (addr string) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		w.(http.Flusher).Flush()
		if keepOpen {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	}))
	t.Cleanup(func() { close(release); server.Close() })
	return server.Listener.Addr().String()
}
