package agent

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// newLoggingLoop returns a loop whose inputs the test handles, and the buffer of its log, without
// times.
func newLoggingLoop(t *testing.T, discovery string) (*loop, *bytes.Buffer) {
	t.Helper()
	text := &bytes.Buffer{}
	withoutTime := func(_ []string, attr slog.Attr) slog.Attr {
		if attr.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attr
	}
	log := slog.New(slog.NewTextHandler(text, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	l, err := newLoop(t.Context(), parseConfig(t, agenttest.Config(discovery, "127.0.0.1:9")), log)
	if err != nil {
		t.Fatal(err)
	}
	return l, text
}

func TestLoopLogsHowCallsToDiscoveryEnd(t *testing.T) {
	notifies := agenttest.ServeLines(t, false, agenttest.EndpointChange)
	refused := fmt.Sprintf(`"Get \"http://%s/v1/endpoints%%s\": dial tcp %s: connect: connection refused"`, refusingAddr, refusingAddr)
	for _, c := range []struct {
		name, discovery string
		call            func(*loop)
		inputs          int // number of inputs that the call causes
		want            string
	}{
		{"fetch refused", refusingAddr, (*loop).startFetch, 1,
			`level=WARN msg="endpoint list fetch failed" err=` + fmt.Sprintf(refused, "") + " discovery=" + refusingAddr},
		{"watch refused", refusingAddr, (*loop).openWatch, 1,
			`level=WARN msg="endpoint list watch failed" err=` + fmt.Sprintf(refused, "?follow=1&since=1") + " discovery=" + refusingAddr},
		{"watch ended after a list", notifies, (*loop).openWatch, 2,
			`level=WARN msg="endpoint list watch ended" err=EOF discovery=` + notifies},
		{"address changed", refusingAddr, func(l *loop) { l.switchDiscovery("127.0.0.1:2") }, 0,
			`level=INFO msg="discovery address changed" previous=` + refusingAddr + " discovery=127.0.0.1:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, text := newLoggingLoop(t, c.discovery)
			c.call(l)
			for range c.inputs {
				l.handle(agenttest.Receive(t, l.inputs, "an input of the call"))
			}
			if got := strings.TrimSpace(text.String()); got != c.want {
				t.Errorf("got line\n%s, want\n%s", got, c.want)
			}
		})
	}
}
