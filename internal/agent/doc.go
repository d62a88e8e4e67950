// Package agent connects the decision module (package policy) to the network. It converts network
// I/O to the module's events and executes the module's actions. Whether, when and where a request
// is sent is decided by the module alone.
//
// The package has two parts. The loop is a single goroutine. Only it calls the module, and it owns
// the open requests and the listed backends. The handler reads a client's request, posts it to the
// loop and writes the single response. The connections of clients are handled by package
// clientconn, those to backends by package backend, and calls to discovery by package discovery.
//
// New, Agent.Reload and Agent.Trace may be called from any goroutine. Agent.Serve must be called
// only once. Reload and Trace wait for the loop, which runs as long as Serve does. RunSimulated runs
// a loop without a handler in the goroutine of its caller.
//
// Errors are one line. New and RunSimulated return the error of the module if it rejects a setting.
// Errors of Reload begin with "config: " and name the field that can't be changed. They are a
// *fielderror.Error if the field is one of the settings. The error of Serve begins with "serve: ".
package agent
