package policy

import "testing"

// Each constructor sets the fields that its kind uses. The numbers of the kinds don't change, because
// logs print them.
func TestActionConstructorsSetFieldsOfTheirKind(t *testing.T) {
	server := addr(3)
	for _, test := range []struct {
		name      string
		got, want Action
	}{
		{"SendAttempt", SendAttempt(7, server, 80, 20),
			Action{Kind: 1, Request: 7, Server: server, TimeoutMs: 80, BeginWithinMs: 20}},
		{"CancelAttempt", CancelAttempt(7, 2), Action{Kind: 2, Request: 7, Attempt: 2}},
		{"RejectRequest", RejectRequest(7, 250), Action{Kind: 3, Request: 7, RetryAfterMs: 250}},
		{"FailRequest", FailRequest(7), Action{Kind: 4, Request: 7}},
		{"CheckHealth", CheckHealth(server), Action{Kind: 5, Server: server}},
		{"SetTimer", SetTimer(500, 9), Action{Kind: 6, DelayMs: 500, Token: 9}},
		{"OpenWatch", OpenWatch(), Action{Kind: 7}},
		{"FetchEndpoints", FetchEndpoints(), Action{Kind: 8}},
		{"LogText", LogText("text"), Action{Kind: 9, Text: "text"}},
		{"CloseIdleConnections", CloseIdleConnections(server), Action{Kind: 10, Server: server}},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, test.got, test.want)
		}
	}
}
