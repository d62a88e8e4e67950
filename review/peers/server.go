package peers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is a stand-in for a bid server. It answers each request with a body that names the request and
// the server, after the time that Work gives.
type Server struct {
	Name, Addr string
	// WorkOf returns the time that a request takes; nil: Work.
	WorkOf func(run *Run) time.Duration
	// Work returns the time that a request takes; nil: 40 ms.
	Work func() time.Duration
	// Answer writes the answer and reports whether the connection stays open; nil: WriteOK.
	Answer func(conn net.Conn, run *Run) bool

	// Ignore says which requests are answered but not recorded; nil: none.
	Ignore func(run *Run) bool

	record *Record
	mu     sync.Mutex
	runs   []*Run
	conns  map[net.Conn]bool
	ln     net.Listener
}

// Run is one attempt that a server got.
type Run struct {
	Server      *Server
	ID, Key     string
	Target      string
	Body        []byte
	First, Last time.Time // of its bytes
	Done        time.Time // when its answer was ready
	Conn        net.Conn
}

// NewServer starts a server on a free port.
func NewServer(record *Record, name string) *Server {
	s := &Server{Name: name, record: record, conns: map[net.Conn]bool{}}
	s.Listen("127.0.0.1:0")
	return s
}

// Listen begins to accept connections at an address.
func (s *Server) Listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		Stop("server: %v", err)
	}
	s.Addr, s.ln = ln.Addr().String(), ln
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// Die refuses new connections and resets the open ones, as a process that dies.
func (s *Server) Die() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		run := &Run{Server: s, First: time.Now(), Conn: conn}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if run.Body, err = io.ReadAll(request.Body); err != nil {
			return
		}
		run.Last, run.ID, run.Key = time.Now(), request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key")
		run.Target = request.RequestURI
		if strings.HasPrefix(run.Target, "/health") || strings.HasPrefix(run.Target, "/status/load") {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if s.Ignore == nil || !s.Ignore(run) {
			s.mu.Lock()
			s.runs = append(s.runs, run)
			s.mu.Unlock()
			s.record.Line("server %s ran %s, first byte at %.4f", s.Name, run.ID, s.record.At(run.First))
		}
		work := 40 * time.Millisecond
		if s.Work != nil {
			work = s.Work()
		}
		if s.WorkOf != nil {
			work = s.WorkOf(run)
		}
		time.Sleep(work)
		run.Done = time.Now()
		answer := s.Answer
		if answer == nil {
			answer = WriteOK
		}
		if !answer(conn, run) {
			return
		}
	}
}

// Runs returns the attempts so far.
func (s *Server) Runs() []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Run(nil), s.runs...)
}

// BodyFor returns the body that the server makes for a request.
func BodyFor(server, id string) string { return fmt.Sprintf("answer of %s to %s", server, id) }

// WriteOK answers with 200 and the server's body for the request.
func WriteOK(conn net.Conn, run *Run) bool {
	body := BodyFor(run.Server.Name, run.ID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
