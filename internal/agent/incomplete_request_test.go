package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/clientconn"
)

// sendFirst sends a request on a new connection and reads its response, so that the next request is
// the second on the connection.
func sendFirst(t *testing.T, conn net.Conn, received <-chan string) {
	t.Helper()
	io.WriteString(conn, agenttest.RequestText("order", fmt.Sprint("whole", lastID.Add(1))))
	resp := checkResponse(t, bufio.NewReader(conn), 200)
	io.Copy(io.Discard, resp.Body)
	<-received
}

// Clients that stop in the middle of a request and stay connected get an error or a close. This
// holds too if the head is invalid, the timeout is short, or the request is the second on its
// connection.
func TestAgentEndsIncompleteRequests(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	head := agenttest.RequestText("order", "half")
	halfBody := agenttest.RequestTextWithBody("order", "half", 8, "half")
	for _, c := range []struct {
		name, text string
		want       string // status; "": a close suffices
	}{
		{"one byte", "P", ""},
		{"half a head", head[:30], ""},
		{"half a body", halfBody, "408"},
		{"half a body, short timeout", strings.Replace(halfBody, "30000m", "20m", 1), "503"},
		{"half a body, unknown class", strings.Replace(halfBody, "/order", "/none", 1), "404"},
		{"half a body, wrong method", strings.Replace(halfBody, "POST", "PUT", 1), "405"},
	} {
		for _, isSecond := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second request %v", c.name, isSecond), func(t *testing.T) {
				t.Parallel()
				conn := agenttest.Dial(t, base)
				if isSecond {
					sendFirst(t, conn, received)
				}
				began := time.Now()
				io.WriteString(conn, c.text)
				got := agenttest.ReadToEnd(t, conn)
				if c.want != "" && !strings.HasPrefix(got, "HTTP/1.1 "+c.want) {
					t.Fatalf("got %q, want status %s", got, c.want)
				}
				if strings.Count(got, "HTTP/1.1") > 1 {
					t.Fatalf("got %q, want one response at most", got)
				}
				if c.want == "503" && !strings.Contains(got, "Retry-After: 0.6\r\n") {
					t.Fatalf("got %q, want Retry-After: 0.6", got)
				}
				// clientconn.KeepAliveTimeout is 15 s. That a faulty client is closed within 3 s is
				// checked on the constants, in another test.
				if took := time.Since(began); took > clientconn.KeepAliveTimeout-2*time.Second {
					t.Fatalf("connection ended after %v, want it well before the keep-alive timeout", took)
				}
			})
		}
	}
}
