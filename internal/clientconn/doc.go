// Package clientconn accepts the clients' connections and decides which of them stay open. It sits
// between a net.Listener and a net/http server: the server serves the connections that a Listener
// accepts, and uses Table.OnConnState as its ConnState hook.
//
// A Table limits the number of connections and holds each one from accept to close. Its mutex
// guards its own fields and the stage of each connection. The table never closes a connection that
// has a whole request in progress. To close another connection, it makes the server's pending read
// time out, so that a request that arrives at the same time is still answered. Only a connection
// whose request was answered with an error is closed directly. If the handler still waits for the
// body, or delays an answer without a backend, the table ends that wait, and the handler answers.
//
// Answers that cost no backend anything are limited in their rate (Table.SetAnswerRate), and the
// server pauses before a request that its client sent ahead of the response to the one before, so
// that no client uses all of the processor time.
//
// A Conn counts the header lines of each head as it is read, and the table bounds the memory of large
// heads. A head that exceeds a limit is refused: the Conn responds itself, and the server reads the
// end of the connection.
//
// A Conn belongs to the server's goroutine for that connection. Only that goroutine may read from
// it, or the handler's watch for a disconnect in its place. BeginRequest, BeginBody, EndBody,
// IsBodyTooLong, WatchDisconnect, DelayAnswer, MarkRejected and NetConn are for the handler of its
// request. All methods of Table may be called from any goroutine. Only ReapIdleUntil blocks.
//
// Listen returns the error of its last attempt to listen. Listener.Accept returns an error only
// after the listener was closed; it logs and retries after every other failure. Read, Write and
// Close of a Conn return the errors of the underlying connection.
package clientconn
