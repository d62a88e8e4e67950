package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// heartbeatInterval is the time between two empty lines that each watch gets while nothing
	// changes.
	heartbeatInterval = 2 * time.Second
	// readHeaderTimeout bounds the time that a client may take to send the header of a call.
	readHeaderTimeout = 10 * time.Second
)

// standIn is a stand-in of discovery. It gets the endpoint list from the bench and serves it to
// polls and watches, on one port for each scope.
type standIn struct {
	endpoints *endpointStore
	servers   []*http.Server
	served    servedCounts
	callPeak  peakCounter
}

// servedCounts counts what a stand-in has served since its start. Bytes are those of HTTP, without
// the headers of TCP and IP.
type servedCounts struct {
	Calls      int64 `json:"calls"`
	Lists      int64 `json:"lists"`      // whole lists and changes that were written
	Heartbeats int64 `json:"heartbeats"` // empty lines that were written
	Bytes      int64 `json:"bytes"`      // bytes written
	BytesRead  int64 `json:"bytes_read"` // bytes read
	CallsPeak  int64 `json:"calls_peak"` // largest number of calls in one second since the last report
}

// peakCounter counts the calls of each second and keeps the largest count.
type peakCounter struct {
	mu     sync.Mutex
	second int64 // Unix time of the last call
	calls  int64 // in that second, since the last takePeak
	peak   int64 // largest value of calls
}

// add counts a call in the current second.
func (p *peakCounter) add() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.calls = now, 0
	}
	p.calls++
	p.peak = max(p.peak, p.calls)
}

// takePeak returns the largest number of calls in one second since the last takePeak, and resets it.
func (p *peakCounter) takePeak() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := p.peak
	p.peak, p.calls = 0, 0
	return peak
}

// countedListener counts the bytes that its connections read and write.
type countedListener struct {
	net.Listener
	served *servedCounts
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	net.Conn
	served *servedCounts
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.served}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	atomic.AddInt64(&c.served.BytesRead, int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	atomic.AddInt64(&c.served.Bytes, int64(n))
	return n, err
}

// handle executes one command of the bench.
func (s *standIn) handle(_ context.Context, cmd *command) (reply, error) {
	switch cmd.Op {
	case opOpen:
		return reply{}, s.open(cmd)
	case opList:
		return reply{}, s.applyList(cmd.List)
	case opSilence:
		s.endpoints.setSilent(cmd.Silent)
		return reply{}, nil
	case opReport:
		counts := servedCounts{Calls: atomic.LoadInt64(&s.served.Calls), Lists: atomic.LoadInt64(&s.served.Lists),
			Heartbeats: atomic.LoadInt64(&s.served.Heartbeats), Bytes: atomic.LoadInt64(&s.served.Bytes),
			BytesRead: atomic.LoadInt64(&s.served.BytesRead), CallsPeak: s.callPeak.takePeak()}
		return reply{Counts: counts, AgeMs: s.endpoints.age().Milliseconds()}, nil
	}
	return reply{}, fmt.Errorf("unknown command %q", cmd.Op)
}

// applyList applies a list from the bench.
func (s *standIn) applyList(list []byte) error {
	var l endpointlist.List
	if err := json.Unmarshal(list, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	s.endpoints.apply(&l)
	return nil
}

// open applies the first list and listens on the ports of the command.
func (s *standIn) open(cmd *command) error {
	var scopeOf func(string) int
	if cmd.Plan.Scope == ScopeService {
		serviceOf := map[string]int{}
		for i, service := range cmd.Plan.serviceOfServers() {
			serviceOf[serverName(i)] = service
		}
		scopeOf = func(host string) int { return serviceOf[host] }
	}
	s.endpoints = newEndpointStore(scopeOf)
	if err := s.applyList(cmd.List); err != nil {
		return err
	}
	for scope, port := range cmd.Ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return fmt.Errorf("stand-in: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, scope) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(countedListener{listener, &s.served}) }() // close ends it
	}
	return nil
}

// close ends all watches and calls.
func (s *standIn) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// serve answers one call. While the stand-in is silent it writes nothing, neither to new calls nor
// to open watches.
func (s *standIn) serve(w http.ResponseWriter, r *http.Request, scope int) {
	atomic.AddInt64(&s.served.Calls, 1)
	s.callPeak.add()
	follow, since := r.FormValue("follow") == "1", int64(0)
	if follow {
		var err error
		if since, err = strconv.ParseInt(r.FormValue("since"), 10, 64); err != nil {
			http.Error(w, "since: no number", http.StatusBadRequest)
			return
		}
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	answered := false
	for {
		seq, silent, changed := s.endpoints.state()
		// The first list is written immediately, even if it has no changes, because it answers the
		// call.
		if !silent && (!answered || seq != since) {
			sent, err := s.writeList(w, scope, since)
			switch {
			case errors.Is(err, errSilent): // the stand-in became silent after state was read
			case err != nil || !follow:
				return
			default:
				answered, since = true, sent
			}
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if silent {
				continue
			}
			if err := s.write(w, []byte("\n")); err != nil {
				return
			}
			atomic.AddInt64(&s.served.Heartbeats, 1)
		case <-r.Context().Done():
			return
		}
	}
}

// writeList writes the changes of a scope since a version, and returns the version that they lead
// to.
func (s *standIn) writeList(w http.ResponseWriter, scope int, since int64) (int64, error) {
	list, seq, err := s.endpoints.encodedList(scope, since)
	if err != nil {
		return since, err
	}
	if err := s.write(w, list); err != nil {
		return since, err
	}
	atomic.AddInt64(&s.served.Lists, 1)
	return seq, nil
}

// write writes a part of an answer and flushes it.
func (s *standIn) write(w http.ResponseWriter, part []byte) error {
	if _, err := w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
