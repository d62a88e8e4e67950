package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

func TestAttemptStatusOfFailedConnect(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Status{
		syscall.ENFILE:        policy.StatusLocalFailure,
		syscall.EADDRNOTAVAIL: policy.StatusLocalFailure,
		syscall.EAGAIN:        policy.StatusLocalFailure,
		syscall.EINTR:         policy.StatusLocalFailure,
		syscall.ENETUNREACH:   policy.StatusUnreachable,
		syscall.EHOSTUNREACH:  policy.StatusUnreachable,
		syscall.ECONNREFUSED:  policy.StatusConnectFailed,
		syscall.ETIMEDOUT:     policy.StatusConnectFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			pool := newTestPool()
			pool.DialContext = (&agenttest.FailingDialer{Errno: errno, Failures: 1}).DialContext
			if got := runAttempt(pool.NewConns(unusedAddr)); got.Status != want || !errors.Is(got.Err, errno) {
				t.Errorf("got status %d (%v), want %d (%v)", got.Status, got.Err, want, errno)
			}
			if pool.open != 0 {
				t.Errorf("got %d connections counted as open, want 0", pool.open)
			}
		})
	}
}

func TestAttemptStatusOfRefusedConnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	pool := newTestPool()
	if got := runAttempt(pool.NewConns(addr)); got.Status != policy.StatusConnectFailed {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusConnectFailed)
	}
	if pool.open != 0 {
		t.Fatalf("got %d connections counted as open, want 0", pool.open)
	}
}

// If the connection limit is reached, the request never ran and its backend is not at fault.
func TestAttemptAtConnLimitIsRejected(t *testing.T) {
	pool := newTestPool()
	pool.settings.MaxConns = 0
	if got := runAttempt(pool.NewConns(unusedAddr)); got.Status != policy.StatusRejected || !errors.Is(got.Err, ErrConnLimit) {
		t.Fatalf("got status %d (%v), want %d (%v)", got.Status, got.Err, policy.StatusRejected, ErrConnLimit)
	}
}

// halfWriteConn writes half of the data and then fails.
type halfWriteConn struct{ net.Conn }

func (halfWriteConn) Write(data []byte) (int, error) { return len(data) / 2, errors.New("broken") }

// A request never ran if its last byte was not written.
func TestAttemptStatusOfIncompleteWrite(t *testing.T) {
	addr, _ := agenttest.ByteCountingBackend(t)
	pool := newTestPool()
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		return halfWriteConn{conn}, err
	}
	if got := runAttempt(pool.NewConns(addr)); got.Status != policy.StatusConnectFailed {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusConnectFailed)
	}
}

// runOn runs an attempt on the connection. The timeout is so long that the value of Request-Timeout
// has the same number of digits in each run, which keeps the length of the request constant.
func runOn(conn *agenttest.ScriptedConn, method string) Result {
	pool := newTestPool()
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
	return newTestAttempt(pool.NewConns(unusedAddr), method, agenttest.LongTimeout).Run()
}

// A short write without an error has not sent the whole request.
func TestAttemptStatusOfShortWrite(t *testing.T) {
	conn := &agenttest.ScriptedConn{Response: []byte(agenttest.OKResponse), WriteLimit: 10, ReadLimit: -1}
	if got := runOn(conn, http.MethodPost); got.Status != policy.StatusConnectFailed || !conn.Closed {
		t.Errorf("got status %d, closed %v, want %d and true", got.Status, conn.Closed, policy.StatusConnectFailed)
	}
}

// connErrnos are the errors that a read or a write of a connection may return.
var connErrnos = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}

// A request never ran if its last byte was not written. A request that was written completely may
// have run, whatever error its write or a read of its response returns. A response that arrives in
// the smallest reads is complete. A connection that broke is closed.
func TestAttemptStatusOfConnectionBrokenAtEachByte(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		whole := agenttest.NewScriptedConn(agenttest.OKResponse)
		if got := runOn(whole, method); got.Status != policy.StatusOK || string(got.Body) != "done" || whole.Closed {
			t.Fatalf("%s: got status %d, body %q, closed %v, want %d, \"done\" and false",
				method, got.Status, got.Body, whole.Closed, policy.StatusOK)
		}
		for _, errno := range connErrnos {
			checkBrokenWrites(t, method, errno, whole.Written.Len())
			// A response without a length needs one more read, which finds the end of the
			// connection.
			checkBrokenReads(t, method, errno, agenttest.OKResponse, len(agenttest.OKResponse))
			checkBrokenReads(t, method, errno, responseWithoutLength, len(responseWithoutLength)+1)
		}
	}
}

// checkBrokenWrites breaks a connection at each byte of a request of the given length and after its
// last byte.
func checkBrokenWrites(t *testing.T, method string, errno syscall.Errno, length int) {
	t.Helper()
	for at := range length + 1 {
		conn := &agenttest.ScriptedConn{Response: []byte(agenttest.OKResponse), Errno: errno, WriteLimit: at, ReadLimit: -1}
		got := runOn(conn, method)
		switch {
		case at < length && !got.Status.NeverRan():
			t.Errorf("%s: %v at byte %d of %d written: got status %d, want one that never ran", method, errno, at, length, got.Status)
		case at == length && got.Status != policy.StatusReset:
			t.Errorf("%s: %v with all %d bytes written: got status %d, want %d", method, errno, length, got.Status, policy.StatusReset)
		case at < length && socket.IsLocalError(errno) != (got.Status == policy.StatusLocalFailure):
			t.Errorf("%s: %v at byte %d written: got status %d, want %d for errors of this machine alone",
				method, errno, at, got.Status, policy.StatusLocalFailure)
		case !conn.Closed:
			t.Errorf("%s: %v at byte %d written: got the connection kept, want it closed", method, errno, at)
		}
	}
}

// checkBrokenReads breaks a connection at each of the given number of reads of a response.
func checkBrokenReads(t *testing.T, method string, errno syscall.Errno, response string, reads int) {
	t.Helper()
	for at := range reads {
		conn := &agenttest.ScriptedConn{Response: []byte(response), Errno: errno, WriteLimit: -1, ReadLimit: at}
		if got := runOn(conn, method); got.Status != policy.StatusReset || !conn.Closed {
			t.Errorf("%s: %v at byte %d read of %q: got status %d, closed %v, want %d and true",
				method, errno, at, response, got.Status, conn.Closed, policy.StatusReset)
		}
	}
}

// Only an attempt that never began, one whose request was not written to its end, and one that the
// backend says it did not start cannot have run.
func TestResultMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		want   bool
	}{
		{"served", Result{Status: policy.StatusOK}, true},
		{"failed", Result{Status: policy.StatusServerError}, true},
		{"not started", Result{Status: policy.StatusRejected}, false},
		{"not sent", Result{Status: policy.StatusNotSent}, false},
		{"never began", Result{Status: policy.StatusCancelled, Err: &Error{neverBegan: true}}, false},
		{"incomplete", Result{Status: policy.StatusConnectFailed, Err: &Error{incomplete: true}}, false},
		{"cancelled", Result{Status: policy.StatusCancelled, Err: &Error{}}, true},
		{"timed out", Result{Status: policy.StatusTimeout, Err: &Error{}}, true},
		{"panicked", Result{Status: policy.StatusReset, Err: &Error{neverBegan: true}, Panic: &PanicError{}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.result.MayHaveRun(); got != c.want {
				t.Errorf("got may have run %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a client whose requests have hardly any time and make servers look unreachable: an
// attempt whose deadline ends its connect early does not count as a failed connect.
func TestAttemptStatusOfConnectEndedByDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		connectTimeout time.Duration
		want           policy.Status
	}{
		"too little time": {agenttest.LongTimeout, policy.StatusNotSent},
		"enough time":     {time.Millisecond, policy.StatusConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newTestPool()
			settings := pool.Settings()
			settings.ConnectTimeout = c.connectTimeout
			pool.Configure(settings)
			attempt := newTestAttempt(pool.NewConns(unusedAddr), http.MethodPost, 20*time.Millisecond)
			pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
				<-attempt.ctx.Done()
				return nil, attempt.ctx.Err()
			}
			if got := attempt.Run(); got.Status != c.want {
				t.Errorf("got status %d (%v), want %d", got.Status, got.Err, c.want)
			}
		})
	}
}
