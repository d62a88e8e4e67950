package agent

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// failingDialer fails the first connects of a discovery and counts all.
type failingDialer struct {
	failures int
	err      error
	connects int
	under    int // way at once
	most     int
	dial     func(context.Context, string, string) (net.Conn, error)
}

func (f *failingDialer) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	f.under++
	f.most = max(f.most, f.under)
	defer func() { f.under-- }()
	if f.connects++; f.connects <= f.failures {
		return nil, f.err
	}
	return f.dial(ctx, network, addr)
}

func failedConnect(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// A moment in which this machine has no descriptor, port or route is no failed call of discovery: the
// call is made as soon as the moment has passed, and until then seldom enough.
func TestCallsThatThisMachineCannotMake(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN} {
		for call, do := range map[string]func(*discovery){
			"watch":       func(d *discovery) { d.watch(1, false) },
			"eager watch": func(d *discovery) { d.watch(1, true) },
			"fetch":       func(d *discovery) { d.fetch(false) },
			"eager fetch": func(d *discovery) { d.fetch(true) },
		} {
			t.Run(errno.Error()+" "+call, func(t *testing.T) {
				d, posted := scripted(t, false, `{"seq":2,"whole":true,"hosts":[]}`)
				dialer := &failingDialer{failures: 20, err: failedConnect(errno), dial: d.dial}
				d.dial = dialer.connect
				d.firstWordTimeout, d.silence = agenttest.Never, agenttest.Never
				var pauses []time.Duration
				d.pause = func(span time.Duration) bool {
					pauses = append(pauses, span)
					return true
				}
				do(d)
				if in := await(t, posted); in.err != nil || in.list.Seq != 2 {
					t.Fatalf("posted %+v first", in)
				}
				if len(pauses) != dialer.failures || dialer.connects != dialer.failures+1 || dialer.most != 1 {
					t.Fatalf("%d connects, %d at once, with %d pauses", dialer.connects, dialer.most, len(pauses))
				}
				differ := false
				for i, span := range pauses {
					if least := min(localCallBackoff<<i, longestCallBackoff) / 2; i < 10 && span < least || span > longestCallBackoff {
						t.Fatalf("pause %d is %v", i, span)
					}
					differ = differ || span != pauses[len(pauses)-1]
				}
				if !differ {
					t.Error("the pauses have no jitter")
				}
			})
		}
	}
}

// What came from discovery, or from the way to it once a connection was up, is a failed call.
func TestCallsThatFailElsewhere(t *testing.T) {
	for name, err := range map[string]error{
		"refused":   failedConnect(syscall.ECONNREFUSED),
		"timed out": failedConnect(syscall.ETIMEDOUT),
		"read":      &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.EHOSTUNREACH)},
	} {
		t.Run(name, func(t *testing.T) {
			d, posted := scripted(t, false)
			dialer := &failingDialer{failures: 1, err: err}
			d.dial = dialer.connect
			d.pause = func(time.Duration) bool { t.Error("paused"); return false }
			d.watch(1, false)
			if in := await(t, posted); !is[watchEnded](in.input) || in.err == nil || in.endedAfterNotice || dialer.connects != 1 {
				t.Fatalf("%d connects, and posted %+v", dialer.connects, in)
			}
		})
	}
}

// A call that waits to be made again ends with the agent, and when discovery moves.
func TestCallsThatWaitEnd(t *testing.T) {
	d, posted := scripted(t, false)
	failing := make(chan struct{}, 1)
	d.dial = func(context.Context, string, string) (net.Conn, error) {
		select {
		case failing <- struct{}{}:
		default:
		}
		return nil, failedConnect(syscall.ENFILE)
	}
	go d.watch(1, false)
	<-failing
	d.close()
	if in := await(t, posted); !is[watchEnded](in.input) {
		t.Fatalf("posted %+v", in)
	}
}
