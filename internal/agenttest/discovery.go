package agenttest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// EndpointChange is a line of a watch: version 2, by which the backend s-0 drains.
const EndpointChange = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// Discovery is a stand-in for the service that lists the backends. A test takes its calls from Calls
// and answers each as it likes. It ends with the test.
type Discovery struct {
	Addr  string
	Calls chan *DiscoveryCall
}

// DiscoveryCall is one call of a Discovery. Nothing of its response is sent before the first Write.
type DiscoveryCall struct {
	URI   string        // path and query
	Write chan string   // is sent at once, piece by piece; closing it ends the response
	Ended chan struct{} // closed when the caller has ended the call
}

// NewDiscovery starts a stand-in.
func NewDiscovery(t testing.TB) *Discovery {
	d := &Discovery{Calls: make(chan *DiscoveryCall, 16)}
	server := httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(server.Close)
	d.Addr = server.Listener.Addr().String()
	return d
}

// serve writes what the test says until either side ends the call.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	call := &DiscoveryCall{URI: r.URL.RequestURI(), Write: make(chan string), Ended: make(chan struct{})}
	d.Calls <- call
	for {
		select {
		case text, more := <-call.Write:
			if !more {
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

// ServeLines starts a stand-in that answers each call with the lines and returns its address. Its
// responses end behind them, or with the call or the test if they are kept open.
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
