// Package agenttest has what the tests of several packages need alike, in the manner of
// net/http/httptest: stand-in servers, a raw client, and waiting for a condition. It is imported by
// tests alone. Its functions fail the test that they are given and may be called from the goroutine
// of that test.
package agenttest
