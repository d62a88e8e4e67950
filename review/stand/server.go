package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is a request that a bid server has received.
type Sent struct {
	Server  string
	At      time.Time // its first byte
	ID      string    // its Request-Id
	Method  string
	Path    string
	Body    string
	Timeout string
}

// Answer is what a bid server sends back. An empty Text is a 200 answer with a body that names the
// request.
type Answer struct {
	After time.Duration // time from the request's last byte
	Text  string
	Close bool // the connection is closed after the answer
}

// Server is a stand-in of a bid server.
type Server struct {
	Name string
	Addr string

	record   *Record
	listener net.Listener
	answer   func(sent Sent) Answer

	mu    sync.Mutex
	sent  []Sent
	conns map[net.Conn]bool

	quiet atomic.Bool // requests of the class price-read are not recorded
}

// NewServer starts a bid server. answer may be nil: each request is then served at once.
func NewServer(record *Record, name string, answer func(sent Sent) Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Addr: listener.Addr().String(), record: record, listener: listener, answer: answer,
		conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Body returns the body of the answer that a bid server makes for a request.
func Body(id string) string { return "answer to " + id }

// Served returns the text of a 200 answer to a request.
func Served(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(Body(id)), Body(id))
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
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
		at := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			s.record.Printf("%s: unreadable request: %v", s.Name, err)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		sent := Sent{Server: s.Name, At: at, ID: request.Header.Get("Request-Id"), Method: request.Method,
			Path: request.RequestURI, Body: string(body), Timeout: request.Header.Get("Request-Timeout")}
		s.mu.Lock()
		s.sent = append(s.sent, sent)
		s.mu.Unlock()
		if !s.quiet.Load() || !strings.HasPrefix(sent.Path, "/price-read") {
			s.record.Printf("%s runs %s %s, id %s, %d bytes", s.Name, sent.Method, sent.Path, sent.ID, len(body))
		}
		answer := Answer{}
		if s.answer != nil {
			answer = s.answer(sent)
		}
		if answer.Text == "" {
			answer.Text = Served(sent.ID)
		}
		time.Sleep(answer.After)
		if _, err := io.WriteString(conn, answer.Text); err != nil || answer.Close {
			return
		}
	}
}

// Quiet leaves the requests of the class price-read out of the record.
func (s *Server) Quiet() { s.quiet.Store(true) }

// Sent returns the requests that the server has received.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sent{}, s.sent...)
}

// Close ends the server as a process that dies: it resets its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}
