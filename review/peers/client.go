package peers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	idPrefix = rand.Uint32() // differs between cases that run at the same time
	lastID   atomic.Uint32
)

// NewID returns a new Request-Id.
func NewID() string { return fmt.Sprintf("%08x%08x", idPrefix, lastID.Add(1)) }

// Client is a stand-in for the application of one agent. It keeps connections and opens more when all are
// busy.
type Client struct {
	Addr   string
	record *Record
	mu     sync.Mutex
	idle   []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewClient returns the client of an agent.
func NewClient(record *Record, addr string) *Client { return &Client{Addr: addr, record: record} }

// Result is how a request ended, as its client saw it.
type Result struct {
	ID       string
	Status   int // 0: no answer
	Body     string
	Sent     time.Time // its last byte
	Ended    time.Time
	Timeout  time.Duration
	Err      error
	Fresh    bool // on a new connection
	GaveUp   bool // the client stopped waiting
	Repeated bool // sent once more on a new connection, because the first one was closed
}

// Do sends a request and waits for its answer up to its timeout and a second more. If a kept connection is closed without a
// byte of an answer, the request is sent once more on a new connection.
func (c *Client) Do(class, key, idempotency string, body []byte, timeout time.Duration) *Result {
	result := &Result{ID: NewID(), Timeout: timeout}
	method := "GET"
	if idempotency != "" || body != nil {
		method = "POST"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nTenant: wegiel-poludnie\r\nRequest-Timeout: %dm\r\n",
		method, class, key, result.ID, timeout.Milliseconds())
	if idempotency != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", idempotency)
	}
	if method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&text, "\r\n%s", body)
	conn := c.take()
	result.Fresh = conn == nil
	for {
		if conn == nil {
			dialled, err := net.DialTimeout("tcp", c.Addr, timeout)
			if err != nil {
				result.Err, result.Ended = err, time.Now()
				c.record.Line("client %s: no connection: %v", result.ID, err)
				return result
			}
			conn = &clientConn{Conn: dialled, reader: bufio.NewReader(dialled)}
		}
		keep := c.exchange(conn, text.String(), result)
		if keep {
			c.put(conn)
		} else {
			conn.Close()
		}
		if result.Status == 0 && !result.GaveUp && !result.Fresh && !result.Repeated {
			result.Repeated, conn = true, nil
			continue
		}
		break
	}
	c.record.Line("client %s %s/%s ended with %d after %.1f of %.0f ms, error %v", result.ID, class, key, result.Status,
		float64(result.Ended.Sub(result.Sent).Microseconds())/1000, timeout.Seconds()*1000, result.Err)
	return result
}

func (c *Client) exchange(conn *clientConn, text string, result *Result) (keep bool) {
	_, err := io.WriteString(conn, text)
	result.Sent, result.Err = time.Now(), err
	if err == nil {
		conn.SetReadDeadline(result.Sent.Add(result.Timeout + time.Second))
		var response *http.Response
		if response, err = http.ReadResponse(conn.reader, nil); err == nil {
			var body []byte
			if body, err = io.ReadAll(response.Body); err == nil {
				result.Status, result.Body, keep = response.StatusCode, string(body), !response.Close
			}
		}
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		result.GaveUp = true
	}
	result.Err, result.Ended = err, time.Now()
	return keep && conn.reader.Buffered() == 0
}

func (c *Client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

func (c *Client) put(conn *clientConn) {
	conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
