// Package agenttest provides helpers that the tests of several packages share, similar to
// net/http/httptest: test servers, a client on a raw connection, connections with faults, and
// waiting for a condition. Only tests import it. Its functions fail the test that they are given
// and must be called from the goroutine of that test.
package agenttest
