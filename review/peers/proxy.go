package peers

import (
	"math/rand/v2"
	"net"
	"time"
)

// NewProxy starts a proxy in front of an address and returns its own. Each piece that passes takes the time
// that delay gives, in each direction. Pieces stay in order.
func NewProxy(target string, delay func() time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Stop("proxy: %v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				next, err := net.Dial("tcp", target)
				if err != nil {
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
					return
				}
				go pass(conn, next, delay)
				pass(next, conn, delay)
			}()
		}
	}()
	return listener.Addr().String()
}

// piece is what passes at once; nil text: the end.
type piece struct {
	text []byte
	due  time.Time
	err  error
}

// pass copies from one connection to the other until either ends, and then ends both.
func pass(from, to net.Conn, delay func() time.Duration) {
	queue := make(chan piece, 1024)
	go func() {
		defer close(queue)
		last := time.Time{}
		for {
			text := make([]byte, 64<<10)
			n, err := from.Read(text)
			due := time.Now().Add(delay())
			if due.Before(last) {
				due = last
			}
			last = due
			queue <- piece{text[:n], due, err}
			if err != nil {
				return
			}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		if _, err := to.Write(next.text); err != nil || next.err != nil {
			break
		}
	}
	from.Close()
	to.Close()
	for range queue { // until the reader has noticed
	}
}

// Jitter returns a time around the mean, which differs from it by at most the given share.
func Jitter(mean time.Duration, share float64) time.Duration {
	return time.Duration(float64(mean) * (1 + share*(2*rand.Float64()-1)))
}

// Between returns a random time between two.
func Between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Float64()*float64(most-least))
}
