package agent

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// Regression test: a request that a client hid in the body of another one, behind two lengths that
// disagree, was forwarded. It was hidden in a request with HTTP/1.0, or in a call of /ready.
func TestAgentForwardsNoRequestHiddenInABody(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	hidden := agenttest.RequestText("order", "hidden0000")
	sizeLine := fmt.Sprintf("%x\r\n", len(hidden))
	hiddenInChunk := sizeLine + hidden + "\r\n0\r\n\r\n"
	shortLength := fmt.Sprintf("Content-Length: %d\r\n", len(sizeLine))
	longLength := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+hidden))
	const (
		order    = "POST /order/u1 %s\r\nHost: b\r\nRequest-Id: outer\r\nRequest-Timeout: 30000m\r\n"
		ready    = "GET /ready %s\r\nHost: b\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n"
		keepOpen = "Connection: keep-alive\r\n"
	)
	for name, test := range map[string]struct {
		text     string
		answered bool // 200 is a valid answer to the outer request
	}{
		"HTTP/1.0, both lengths":           {text: fmt.Sprintf(order, "HTTP/1.0") + keepOpen + shortLength + chunked + "\r\n" + hiddenInChunk},
		"HTTP/1.0, lengths swapped":        {text: fmt.Sprintf(order, "HTTP/1.0") + keepOpen + chunked + longLength + "\r\n0\r\n\r\n" + hidden},
		"HTTP/1.0, no Content-Length":      {text: fmt.Sprintf(order, "HTTP/1.0") + keepOpen + chunked + "\r\n" + hidden},
		"HTTP/1.0, unknown encoding":       {text: fmt.Sprintf(order, "HTTP/1.0") + keepOpen + "Transfer-Encoding: gzip\r\n\r\n" + hidden},
		"HTTP/1.0, class asked with GET":   {text: strings.Replace(fmt.Sprintf(order, "HTTP/1.0"), "POST /order", "GET /look", 1) + keepOpen + chunked + "\r\n" + hidden},
		"/ready, both lengths":             {text: fmt.Sprintf(ready, "HTTP/1.1") + longLength + chunked + "\r\n0\r\n\r\n" + hidden},
		"/ready, chunked":                  {text: fmt.Sprintf(ready, "HTTP/1.1") + chunked + "\r\n0\r\n\r\n" + hidden},
		"/ready, HTTP/1.0, both lengths":   {text: fmt.Sprintf(ready, "HTTP/1.0") + keepOpen + shortLength + chunked + "\r\n" + hiddenInChunk, answered: true},
		"/ready, HTTP/1.0, only a chunked": {text: fmt.Sprintf(ready, "HTTP/1.0") + keepOpen + chunked + "\r\n" + hidden, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := agenttest.Dial(t, base)
			id := fmt.Sprint(lastID.Add(1)) // ids that came before would be rejected for that
			go io.WriteString(conn, strings.NewReplacer("Id: outer", "Id: o"+id, "Id: hidden0000", fmt.Sprintf("Id: h%09s", id)).Replace(test.text))
			got := agenttest.ReadToEnd(t, conn)
			if n := strings.Count(got, "HTTP/1."); n > 1 {
				t.Errorf("got %d responses in %q, want at most one", n, got)
			}
			_, status, _ := strings.Cut(got, " ")
			if isError := status == "" || status[0] == '4' || status[0] == '5'; !isError && !test.answered {
				t.Errorf("got %q, want an error or nothing", got)
			}
		})
	}
	t.Cleanup(func() {
		if len(received) > 0 {
			t.Errorf("the backend got request %q and %d more, want none", <-received, len(received))
		}
	})
}

// A health check of HTTP/1.0 gets its answer, and the connection is closed with it.
func TestReadyAnswersHTTP10(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	conn := agenttest.Dial(t, base)
	io.WriteString(conn, "GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	if got := agenttest.ReadToEnd(t, conn); !strings.HasPrefix(got, "HTTP/1.0 200 ") {
		t.Errorf("got %q, want status 200", got)
	}
}
