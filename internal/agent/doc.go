// Package agent is the agent on sockets around the decision module (package policy). It turns what
// happens on sockets into the module's events and carries out the module's actions. It decides
// nothing about where, when or whether a request is sent.
//
// The package owns the loop, a single goroutine that alone calls the module and keeps the open
// requests and the listed backends, and the handler, which reads a client's request, posts it to the
// loop and writes its one response. Connections and calls are the business of the packages
// clientconn, backend and discovery.
//
// New, Agent.Reload and Agent.Trace may be called from any goroutine. Agent.Serve is called once;
// Reload and Trace wait for the loop, which runs as long as Serve does. RunSimulated runs a loop
// without a handler in the goroutine of its caller.
//
// Errors are one line. That of New and of RunSimulated is the module's, which refuses a setting. Those
// of Reload begin with "config: " and name the field that can't be put in force, as a
// *fielderror.Error if it is one of the settings. That of Serve begins with "serve: ".
package agent
