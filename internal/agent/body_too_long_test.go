package agent

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// Guards against a request whose length is too short that is served by a part of its body, as if it
// had run.
func TestAgentRejectsRequestWhoseBodyIsLongerThanItsLength(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	for name, text := range map[string]string{
		"half the body":      agenttest.RequestTextWithBody("order", "bad", 4, "half of it"),
		"no length":          agenttest.RequestText("order", "bad") + "half of it",
		"length of 0":        agenttest.RequestTextWithBody("order", "bad", 0, "{}"),
		"GET with a body":    agenttest.RequestText("look", "bad") + "{}",
		"a long body":        agenttest.RequestTextWithBody("order", "bad", 10_000, strings.Repeat("x", 20_000)),
		"a byte at the end":  agenttest.RequestTextWithBody("order", "bad", 5_000, strings.Repeat("x", 5_001)),
		"more than a buffer": agenttest.RequestTextWithBody("order", "bad", 100, strings.Repeat("x", 9_000)),
	} {
		t.Run(name, func(t *testing.T) {
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, strings.Replace(text, "bad", fmt.Sprint("bad", lastID.Add(1)), 1))
			if got := agenttest.ReadToEnd(t, conn); strings.HasPrefix(got, "HTTP/1.1 2") {
				t.Errorf("got %q, want an error", got)
			}
		})
	}
	if len(received) > 0 {
		t.Errorf("got %d requests at the backend, want none", len(received))
	}
}

// Requests that are sent at once on one connection are all served, with and without blank lines
// between them.
func TestAgentServesRequestsBehindBodies(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	for _, between := range []string{"", "\r\n"} {
		for size, requests := range map[int]int{0: 20, 4: 20, 3000: 2} {
			t.Run(fmt.Sprintf("%q behind %d bytes", between, size), func(t *testing.T) {
				var text strings.Builder
				for i := range requests {
					id := fmt.Sprint("id", lastID.Add(1))
					if i%2 == 0 {
						text.WriteString(agenttest.RequestTextWithBody("order", id, size, strings.Repeat("x", size)) + between)
					} else {
						text.WriteString(agenttest.RequestText("look", id)) // net/http takes blank lines only behind a POST
					}
				}
				conn := agenttest.Dial(t, base)
				io.WriteString(conn, text.String())
				reader := bufio.NewReader(conn)
				for range requests {
					io.Copy(io.Discard, checkResponse(t, reader, 200).Body)
				}
			})
		}
	}
}
