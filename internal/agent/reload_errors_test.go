package agent

import (
	"testing"

	"ploverreel/internal/agenttest"
)

// The texts are an interface to operators, so the test compares them word for word.
func TestReloadErrorIsOneLineWithTheField(t *testing.T) {
	agent, _, _, _ := startAgent(t, agenttest.Config(refusingAddr, "127.0.0.1:1"))
	for _, c := range []struct {
		name  string
		value any
		path  []any
		want  string
	}{
		{"name", "n1", []any{"name"}, `config: name: can't change without a restart, is "n0" and would be "n1"`},
		{"listen", "127.0.0.1:1", []any{"listen"}, `config: listen: can't change without a restart, is "127.0.0.1:0" and would be "127.0.0.1:1"`},
		{"membership", "on_request", []any{"settings", "membershipMode"}, `config: settings: membershipMode: can't change without a restart, is watched and would be on_request`},
		{"index", 3, []any{"settings", "index"}, `config: settings: index: can't change without a restart, is 0 and would be 3`},
		{"one failure domain less", []any{"a"}, []any{"settings", "failureDomains"}, `config: settings: failureDomains: the place of "b" can't change without a restart`},
		{"shapes", []any{"other"}, []any{"settings", "shapes"}, `config: settings: shapes: the place of "k" can't change without a restart`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf := agenttest.Config(refusingAddr, "127.0.0.1:1")
			agenttest.Set(conf, c.value, c.path...)
			if err := agent.Reload(parseConfig(t, conf)); err == nil || err.Error() != c.want {
				t.Errorf("got error\n%v, want\n%s", err, c.want)
			}
		})
	}
}

func TestReloadOfAStoppedAgentFails(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	agent.stop()
	if err := agent.Reload(parseConfig(t, agenttest.Config(refusingAddr))); err == nil || err.Error() != "config: the agent has ended" {
		t.Errorf("got error %v, want config: the agent has ended", err)
	}
}
