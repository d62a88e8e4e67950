// Package clientconn accepts the clients' connections and decides which of them stay open. It lies
// between a listener and a net/http server: the server's connections are those that a Listener
// accepts, and its ConnState hook is Table.OnConnState.
//
// A Table owns the connections from the accept to the close, as their number is bounded. Its mutex
// guards what it holds and the stage of each connection. It never ends a connection that has a
// request in progress. It ends others through the server's own read, so that a request that arrives
// meanwhile is still answered, and closes those whose request was answered with an error. A Conn belongs to the server's goroutine of that connection, the only
// one that may read from it; BeginRequest, MarkRejected and NetConn are for that request's handler.
// All methods of Table may be called from any goroutine, and none but ReapIdleUntil blocks.
//
// Errors: Listen returns the error of the listen that failed last. Listener.Accept returns an error
// only once the listener is closed: every other failure is logged and retried. Read, Write and
// Close of a Conn return those of the connection beneath.
package clientconn
