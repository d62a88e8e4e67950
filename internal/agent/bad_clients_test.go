package agent

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/clientconn"
)

// Clients that send one request and never close their connections must not take all slots: above
// the limit, connections are closed with their response.
func TestAgentClosesConnectionsAboveKeepAliveLimit(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	slots, _ := agent.clients.Limits()
	agent.clients.Resize(slots, 3)
	kept := 0
	for i := range 10 {
		conn := agenttest.Dial(t, base)
		io.WriteString(conn, agenttest.RequestText("order", fmt.Sprint("keep", i)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got response %v, %v; want status 200", resp, err)
		}
		if !resp.Close {
			kept++
		}
		agenttest.Eventually(t, "the connection closed or kept", func() bool { return agent.clients.Count() <= 3 })
	}
	if kept != 3 {
		t.Fatalf("got %d connections kept, want 3", kept)
	}
}

// Malformed and ambiguous requests get an error or a close soon. Neither they nor the bytes that
// follow on the connection reach a backend.
func TestAgentRejectsMalformedRequests(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	head := func(extra ...string) string {
		return "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: bad1\r\nRequest-Timeout: 30000m\r\n" +
			strings.Join(extra, "\r\n") + "\r\n"
	}
	hidden := "POST /order/u2 HTTP/1.1\r\nHost: b\r\nRequest-Id: hidden\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"noise":               "\x16\x03\x01\x02\r\n\r\n" + hidden,
		"both lengths":        head("Content-Length: 4", "Transfer-Encoding: chunked", "") + "0\r\n\r\n" + hidden,
		"lengths swapped":     head("Transfer-Encoding: chunked", "Content-Length: "+fmt.Sprint(len(hidden)+5), "") + "0\r\n\r\n" + hidden,
		"chunked":             head("Transfer-Encoding: chunked", "") + "4\r\nbody\r\n0\r\n\r\n" + hidden,
		"odd encoding":        head("Transfer-Encoding: xchunked", "") + hidden,
		"two lengths":         head("Content-Length: 4", "Content-Length: 5", "") + "body" + hidden,
		"negative length":     head("Content-Length: -4", "") + hidden,
		"huge length":         head("Content-Length: 99999999999999999999", "") + hidden,
		"60 MB":               head("Content-Length: 62914560", "") + strings.Repeat("x", 1<<16),
		"half a body":         head("Content-Length: 100", "") + "half",
		"half a head":         head("X-Half: "),
		"endless head":        head(strings.Repeat("X-More: "+strings.Repeat("x", 1000)+"\r\n", 100)),
		"two ids":             head("Request-Id: bad2", "Content-Length: 0", "") + hidden,
		"absolute form":       strings.Replace(head("Content-Length: 0", ""), "/order", "http://c/order", 1) + hidden,
		"no leading class":    strings.Replace(head("Content-Length: 0", ""), "/order", "//order", 1) + hidden,
		"CONNECT":             "CONNECT b:80 HTTP/1.1\r\nHost: b\r\n\r\n" + hidden,
		"unsendable id":       strings.Replace(head("Content-Length: 0", ""), "bad1", "bad 1", 1) + hidden,
		"GET with a body":     strings.Replace(strings.Replace(head("Content-Length: 4", ""), "order", "look", 1), "POST", "GET", 1) + "body" + hidden,
		"invalid timeout":     strings.Replace(head("Content-Length: 0", ""), "30000m", "soon", 1) + hidden,
		"OPTIONS *":           "OPTIONS * HTTP/1.1\r\nHost: b\r\n\r\n" + hidden,
		"unknown expectation": head("Expect: tea", "Content-Length: 0", "") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := agenttest.Dial(t, base)
			go io.WriteString(conn, text)
			got := agenttest.ReadToEnd(t, conn)
			if got != "" && !strings.HasPrefix(got, "HTTP/1.1 4") && !strings.HasPrefix(got, "HTTP/1.1 5") {
				t.Errorf("got %q, want an error or nothing", got)
			}
			if strings.Count(got, "HTTP/1.1") > 1 {
				t.Errorf("got %q, want at most one response", got)
			}
		})
	}
	t.Cleanup(func() {
		if len(received) > 0 {
			t.Errorf("the backend got request %q, want none", <-received)
		}
	})
}

// Silent connections and incomplete requests end within 3 s of connecting.
func TestAgentClosesSilentConnections(t *testing.T) {
	if got := clientconn.HeadTimeout + bodyTimeout; got > 2700*time.Millisecond {
		t.Fatalf("got %v until a silent client is closed, want at most 2.7 s", got)
	}
	addr, _ := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	if got := agenttest.ReadToEnd(t, agenttest.Dial(t, base)); got != "" {
		t.Fatalf("got %q, want nothing for a client that sent nothing", got)
	}
}

// A graceful shutdown doesn't wait for incomplete requests or silent connections.
func TestShutdownDoesNotWaitForIncompleteRequests(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	agent, base, stop, ended := startAgent(t, agenttest.Config(refusingAddr, addr)) // its classes have a deadline of 30 s
	agenttest.Dial(t, base)
	half := agenttest.Dial(t, base)
	io.WriteString(half, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: h\r\nRequest-Timeout: 30000m\r\nContent-Length: 9\r\n\r\nhalf")
	agenttest.Eventually(t, "two connections accepted", func() bool { return agent.clients.Count() == 2 })
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatalf("got %v, want no error", err)
		}
	case <-time.After(20 * time.Second): // before that deadline
		t.Fatal("the agent has not ended, want it to end despite the incomplete request")
	}
}
