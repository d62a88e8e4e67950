// Package discovery is the client of the discovery service, which lists the backends. It fetches the
// whole list and watches for changes. It manages the connections, timeouts and retries of these
// calls. The user of a Client decides when a call is made.
//
// The results of calls are passed to a callback as a Fetched, a WatchEvent or a WatchEnded. Their
// errors come from the connection, the status of the response or the list (see package
// endpointlist), and are one line.
package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// maxHeaderBytes bounds the size of a response's header.
	maxHeaderBytes = 16 << 10
	// maxListBytes bounds the size of one list.
	maxListBytes = 4 << 20
)

// Placement says where discovery runs.
type Placement int

const (
	// Shared is one service for many agents. Each call means work for it and may wait in a queue.
	Shared Placement = iota
	// Local is a service on the agent's own machine. It answers at once and at no cost, so a watch
	// may send another call while the first one delivers no data.
	Local
)

// Retry says whether the Client itself retries a failed call.
type Retry bool

const (
	// NoRetry reports the failure; the caller decides when to call again.
	NoRetry Retry = false
	// RetryNewDiscovery is for the first calls to a discovery whose address is new. Such a call is
	// retried for some seconds and may have a shorter timeout than others, because the agent is
	// expected to know the list of a new discovery soon.
	RetryNewDiscovery Retry = true
)

// Client calls the discovery at one address.
//
// Fetch and Watch block, so each should run in its own goroutine. All methods are safe for
// concurrent use. All calls end when the context passed to New is cancelled or Close is called; each
// of them still delivers its last result.
type Client struct {
	addr      string
	placement Placement
	url       string // of the endpoint list
	http      *http.Client
	deliver   func(Result)
	ctx       context.Context // cancelling it ends all calls
	cancel    context.CancelFunc

	firstByteTimeout time.Duration // how long a call of a watch may wait for its first byte
	hedgeDelay       time.Duration // time without data after which a watch sends one more call; 0: never
	idleTimeout      time.Duration // time without data after which a watch is closed

	// Replaced by tests.
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	after func(time.Duration) <-chan time.Time
	pause func(time.Duration) bool // waits; returns false once the client is closed
}

// callContextKey is the key under which the context of a call is stored in itself. The transport
// dials with a context of its own that keeps the values of the call's context but not its
// cancellation.
type callContextKey struct{}

// New returns a client of the discovery at addr, which has the form host:port. The client calls
// deliver with each result in the goroutine of the call; the call continues after deliver returns.
func New(ctx context.Context, addr string, placement Placement, deliver func(Result)) *Client {
	c := &Client{addr: addr, placement: placement, url: "http://" + addr + "/v1/endpoints", deliver: deliver,
		firstByteTimeout: firstByteTimeout, idleTimeout: WatchIdleTimeout,
		dial: (&net.Dialer{}).DialContext, after: time.After}
	if placement == Local {
		c.hedgeDelay = localHedgeDelay
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			// Each call uses a new connection. A reused connection could break under the next call;
			// the transport would then send that call twice, and each call means work for discovery.
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// By default the transport continues to dial after the call was cancelled. If connects
			// get no response, each call would hold a descriptor for minutes.
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dial(ctx.Value(callContextKey{}).(context.Context), network, addr)
			},
		},
		// The configuration alone sets the address of discovery, so redirects are not followed.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.pause = c.sleep
	return c
}

// Addr returns the address passed to New.
func (c *Client) Addr() string { return c.addr }

// Placement returns the placement passed to New.
func (c *Client) Placement() Placement { return c.placement }

// Close cancels all calls. It does not wait for them to end.
func (c *Client) Close() { c.cancel() }

// Done returns a channel that is closed when the calls are cancelled, by Close or by the context
// passed to New.
func (c *Client) Done() <-chan struct{} { return c.ctx.Done() }

// Fetch gets the whole list and delivers one Fetched after the last try.
func (c *Client) Fetch(retry Retry) {
	timeout := fetchTimeout
	if retry == RetryNewDiscovery {
		timeout = newDiscoveryCallTimeout
	}
	var list endpointlist.List
	err := c.withRetry(retry, func() (err error) {
		list, err = c.fetchOnce(timeout)
		return err
	})
	c.deliver(Fetched{List: list, Err: err})
}

// fetchOnce gets the whole list in one call, within the timeout.
func (c *Client) fetchOnce(timeout time.Duration) (endpointlist.List, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	body, err := c.get(ctx, c.url)
	if err != nil {
		return endpointlist.List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return endpointlist.List{}, err
	}
	list, err := endpointlist.Parse(text)
	if err == nil && !list.Whole {
		err = errors.New("list: a change instead of the whole list")
	}
	return list, err
}

// get sends one request and returns the body of the response. A status other than 200 is an error.
func (c *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(context.WithValue(ctx, callContextKey{}, ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.New(resp.Status)
	}
	return resp.Body, nil
}
