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
	// heartbeatInterval is how often discovery writes an empty line to a watch.
	heartbeatInterval = 2 * time.Second
	responseBodyBytes = 256 // of a server's answer
	maxResponseBytes  = 64 << 10
)

var responseBody = strings.Repeat("x", responseBodyBytes)

// standInServers are the stand-in servers of one hop: one HTTP server on a listener each.
type standInServers struct {
	addrs      []string
	server     *http.Server
	answerTime time.Duration
	nextHop    *caller // who is called for each request; nil: nobody
	requests   atomic.Int64

	mu        sync.Mutex
	open      int // connections
	peakOpen  int
	opened    int
	usedAddrs map[string]bool // addresses that had a connection
}

// startStandInServers starts n servers that end with the context.
func startStandInServers(ctx context.Context, n int, answer time.Duration, next *caller) (*standInServers, error) {
	s := &standInServers{answerTime: answer, nextHop: next, usedAddrs: map[string]bool{}}
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
		go s.server.Serve(ln) // ends with the listener, which Close ends
	}
	return s, nil
}

// trackConnection counts the connections.
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

// connections returns how many are open, how many were opened so far, the most at one time,
// and how many servers had any.
func (s *standInServers) connections() (open, opened, peakOpen, usedServers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.opened, s.peakOpen, len(s.usedAddrs)
}

// ServeHTTP answers after the answer time and, where there is a next hop, its answer. A call
// there that is not served has failed here: the server may have done part of its work.
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

// sleep reports false if the context ended first.
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

// startDiscovery starts a stand-in of discovery that serves one list, which never changes, and
// returns its address. It ends with the context.
func startDiscovery(ctx context.Context, list endpointlist.List) (addr string, err error) {
	text, err := json.Marshal(list)
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	text = append(text, '\n')
	server := &http.Server{BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := w.Write(text); err != nil || r.URL.Query().Get("follow") != "1" {
				return
			}
			flush := http.NewResponseController(w)
			for flush.Flush() == nil && sleep(r.Context(), heartbeatInterval) {
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

// caller calls agents or servers in turn, as an application does: kept connections, more
// where all are busy.
type caller struct {
	client            *http.Client
	baseURLs          []string
	roundRobin        atomic.Uint64
	requestIDs        *atomic.Uint64 // of all callers: an id is never used twice
	connectionsOpened atomic.Int64   // connections
}

// newCaller returns a caller of the addresses.
func newCaller(requestIDs *atomic.Uint64, addrs []string) *caller {
	c := &caller{requestIDs: requestIDs}
	dialer := net.Dialer{}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c.connectionsOpened.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
		MaxIdleConnsPerHost: agentSockets, DisableCompression: true}}
	for _, a := range addrs {
		c.baseURLs = append(c.baseURLs, "http://"+a)
	}
	return c
}

// call sends one request and returns the answer's status. It waits a little longer than the
// deadline that it passes on, so that the last answer in time counts.
func (c *caller) call(ctx context.Context, path string, timeout time.Duration) (int, error) {
	if timeout < time.Millisecond {
		return 0, errors.New("no time left")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	base := c.baseURLs[c.roundRobin.Add(1)%uint64(len(c.baseURLs))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
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

// closeIdleConnections ends the idle connections.
func (c *caller) closeIdleConnections() { c.client.CloseIdleConnections() }
