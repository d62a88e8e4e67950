package agenttest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// readTimeout bounds the time in which ReadToEnd reads a connection to its end.
const readTimeout = 20 * time.Second

// Dial opens a raw TCP connection to a server, given by its address or its URL. The connection is
// closed at the end of the test.
func Dial(t testing.TB, server string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// RequestText returns the text of a complete request without a body. Its method is GET for the
// class "look" and POST for every other class.
func RequestText(class, id string) string {
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	return fmt.Sprintf("%s /%s/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: %s\r\nRequest-Timeout: 30000m\r\n\r\n", method, class, id)
}

// RequestTextWithBody returns the text of RequestText with a Content-Length and a body, which may
// not fit.
func RequestTextWithBody(class, id string, length int, body string) string {
	field := fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", length)
	return strings.Replace(RequestText(class, id), "\r\n\r\n", field, 1) + body
}

// ReadToEnd returns all bytes that arrive on a connection until it ends, with EOF or with an error.
// It fails the test if the connection doesn't end within readTimeout.
func ReadToEnd(t testing.TB, conn net.Conn) string {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	text, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %q and then nothing, want the connection to end", text)
	}
	return string(text)
}
