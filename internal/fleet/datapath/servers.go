package datapath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// heartbeatInterval is the time between two empty lines that discovery writes to a watch.
	heartbeatInterval = 2 * time.Second
	// responseBodyBytes is the size of the body of a stand-in server's response.
	responseBodyBytes = 256
	// maxResponseBytes bounds how much of a response's body a caller reads.
	maxResponseBytes = 64 << 10
	// responseGrace is added to the time that a caller waits for a response.
	responseGrace = time.Second
)

var responseBody = strings.Repeat("x", responseBodyBytes)

// standInServers are the stand-in servers of one hop. They share one HTTP server and have a
// listener each.
type standInServers struct {
	addrs      []string
	server     *http.Server
	answerTime time.Duration
	nextHop    *caller      // calls the next hop for each request; nil at the last hop
	requests   atomic.Int64 // requests that have arrived

	mu        sync.Mutex
	open      int             // open connections
	peakOpen  int             // maximum of open
	opened    int             // connections opened so far
	usedAddrs map[string]bool // addresses of servers that had a connection
}

// startStandInServers starts n servers, which stop when the context ends.
func startStandInServers(ctx context.Context, n int, answerTime time.Duration, nextHop *caller) (*standInServers, error) {
	s := &standInServers{answerTime: answerTime, nextHop: nextHop, usedAddrs: map[string]bool{}}
	s.server = &http.Server{Handler: s, ConnState: s.trackConnection, IdleTimeout: keepaliveTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	context.AfterFunc(ctx, func() { s.server.Close() })
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.server.Close()
			return nil, fmt.Errorf("stand-in server: %w", err)
		}
		s.addrs = append(s.addrs, ln.Addr().String())
		go s.server.Serve(ln) // returns when Close closes the listener
	}
	return s, nil
}

// trackConnection updates the counts of connections. It is the HTTP server's ConnState callback.
func (s *standInServers) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.opened++
		s.open++
		s.peakOpen = max(s.peakOpen, s.open)
		s.usedAddrs[c.LocalAddr().String()] = true
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// connections returns the number of open connections, of connections opened so far, the maximum
// open at the same time, and the number of servers that had a connection.
func (s *standInServers) connections() (open, opened, peakOpen, usedServers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.opened, s.peakOpen, len(s.usedAddrs)
}

// ServeHTTP waits for the answer time, calls the next hop if there is one, and responds. If the
// next hop does not serve the call, it responds with status 500: this server may already have done
// part of the work.
func (s *standInServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	s.requests.Add(1)
	timeLeftMs, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("Request-Timeout"), "m"))
	if err != nil || r.Header.Get("Request-Id") == "" {
		http.Error(w, "Request-Id or Request-Timeout: missing", http.StatusNotFound)
		return
	}
	if !sleep(r.Context(), s.answerTime) {
		return
	}
	status := http.StatusOK
	if s.nextHop != nil {
		status, err = s.nextHop.call(r.Context(), r.URL.Path, time.Duration(timeLeftMs)*time.Millisecond-time.Since(arrivedAt))
		if err != nil || status != http.StatusOK {
			status = http.StatusInternalServerError
		}
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(responseBodyBytes))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, responseBody) // an error means that the caller has disconnected
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startDiscovery starts a stand-in of discovery and returns its address. It serves one list that
// never changes, and stops when the context ends.
func startDiscovery(ctx context.Context, list endpointlist.List) (addr string, err error) {
	response, err := json.Marshal(list)
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	response = append(response, '\n')
	server := &http.Server{BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := w.Write(response); err != nil || r.URL.Query().Get("follow") != "1" {
				return
			}
			controller := http.NewResponseController(w)
			for controller.Flush() == nil && sleep(r.Context(), heartbeatInterval) {
				if _, err := io.WriteString(w, "\n"); err != nil {
					return
				}
			}
		})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

// caller calls agents or servers in round-robin order. As an application does, it reuses idle
// connections and opens another one when all are busy.
type caller struct {
	client            *http.Client
	baseURLs          []string
	roundRobin        atomic.Uint64
	requestIDs        *atomic.Uint64 // last request ID; shared by all callers, so that no ID is used twice
	connectionsOpened atomic.Int64   // so far
}

// newCaller returns a caller of those addresses.
func newCaller(requestIDs *atomic.Uint64, addrs []string) *caller {
	c := &caller{requestIDs: requestIDs}
	dialer := net.Dialer{}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c.connectionsOpened.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
		MaxIdleConnsPerHost: agentSockets, DisableCompression: true}}
	for _, addr := range addrs {
		c.baseURLs = append(c.baseURLs, "http://"+addr)
	}
	return c
}

// call sends one request with the timeout and returns the response's status. It waits for
// responseGrace longer than the timeout that it passes on, so that a response sent just within the
// timeout is still received.
func (c *caller) call(ctx context.Context, path string, timeout time.Duration) (int, error) {
	if timeout < time.Millisecond {
		return 0, errors.New("no time left")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+responseGrace)
	defer cancel()
	baseURL := c.baseURLs[c.roundRobin.Add(1)%uint64(len(c.baseURLs))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+path, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Request-Id", fmt.Sprintf("%016x", c.requestIDs.Add(1)))
	req.Header.Set("Request-Timeout", fmt.Sprintf("%dm", timeout.Milliseconds()))
	req.Header.Set("Tenant", tenantName)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// closeIdleConnections closes the caller's idle connections.
func (c *caller) closeIdleConnections() { c.client.CloseIdleConnections() }
