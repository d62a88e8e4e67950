package agenttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// OKResponse is a complete response of a backend, with status 200 and the body "done".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// RawBackend starts a test backend and returns its address. For each connection it runs serve in a
// goroutine of its own, and it closes the connection when serve returns. It accepts no connection
// after the end of the test.
func RawBackend(t testing.TB, serve func(conn net.Conn, reader *bufio.Reader)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// ReadRequest reads one whole request and discards the body.
func ReadRequest(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return request, err
}

// AnswerAll returns a connection handler for RawBackend, which answers each request with text.
func AnswerAll(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, text)
		}
	}
}

// ByteCountingBackend starts a test backend that never responds. When a connection has ended, the
// backend sends on read the number of bytes that it received there.
func ByteCountingBackend(t testing.TB) (addr string, read <-chan int64) {
	t.Helper()
	counts := make(chan int64, 1)
	addr = RawBackend(t, func(_ net.Conn, reader *bufio.Reader) {
		n, _ := io.Copy(io.Discard, reader)
		counts <- n
	})
	return addr, counts
}

// IDBackend starts a test backend that responds to each request with the status, and with the
// header Not-Started if notStarted is set. It sends the id of each request on ids, which buffers
// 100 of them.
func IDBackend(t testing.TB, status int, notStarted bool) (addr string, ids chan string) {
	t.Helper()
	ids = make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ids <- r.Header.Get("Request-Id")
		if notStarted {
			w.Header().Set("Not-Started", "1")
		}
		w.WriteHeader(status)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), ids
}
