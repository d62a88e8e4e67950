// Package discovery calls the service that lists the backends: it fetches the whole list, and watches
// for changes. It owns the connections of these calls, their timeouts and their retries. When a call
// is made is up to whoever uses a Client.
//
// What calls bring goes to a callback as a Fetched, a WatchEvent or a WatchEnded; their errors are
// those of the connection, of the response's status or of the list (see package endpointlist), in one
// line.
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
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// maxListBytes bounds one list.
	maxListBytes = 4 << 20
)

// Placement says where discovery runs.
type Placement int

const (
	// Shared is one service for many agents: each call is work for it, and may wait in turn.
	Shared Placement = iota
	// Local is a service on the agent's own machine: it answers at once and at no cost, so that a
	// watch may make another call beside one on which nothing comes.
	Local
)

// Retry says what follows a call that fails.
type Retry bool

const (
	// NoRetry leaves the next call to the caller.
	NoRetry Retry = false
	// RetryNewDiscovery is for a discovery that is new: a call is retried for some seconds, and may be given up
	// earlier than others, as what a new discovery has to say soon counts as known.
	RetryNewDiscovery Retry = true
)

// Client calls one discovery.
//
// Fetch and Watch block, and each is to be called in a goroutine of its own. Any method may be called
// from any goroutine. All calls end with the context that the client was made with, or by Close; each
// delivers its last result then too.
type Client struct {
	addr      string
	placement Placement
	url       string // of the whole list
	http      *http.Client
	deliver   func(Result)
	ctx       context.Context // the calls end with it
	cancel    context.CancelFunc

	firstByteTimeout time.Duration // within which a call of a watch must deliver its first bytes
	hedgeDelay       time.Duration // after which a watch makes another call; 0: never
	idleTimeout      time.Duration // a watch that delivered nothing for so long is ended

	// Replaced by tests.
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	after func(time.Duration) <-chan time.Time
	pause func(time.Duration) bool // waits; false: the calls end
}

// callKey is the key of a call's own context in the one that the transport dials with.
type callKey struct{}

// New returns a client of the discovery at addr, an address with a port. It calls deliver with each
// result, from the goroutine of the call: a call goes on when deliver returns.
func New(ctx context.Context, addr string, placement Placement, deliver func(Result)) *Client {
	c := &Client{addr: addr, placement: placement, url: "http://" + addr + "/v1/endpoints", deliver: deliver,
		firstByteTimeout: firstByteTimeout, idleTimeout: WatchIdleTimeout,
		dial: (&net.Dialer{}).DialContext, after: time.After}
	if placement == Local {
		c.hedgeDelay = localHedgeDelay
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			// A connection a call: one that is kept could break under the next call, which the
			// transport would then send twice, and each call is work for discovery.
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// Left to itself the transport goes on dialling after the call was given up. Where
			// connections never come up each call would hold a descriptor for minutes.
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dial(ctx.Value(callKey{}).(context.Context), network, addr)
			},
		},
		// Discovery is where the configuration says, not where a response points.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.pause = c.sleep
	return c
}

// Addr returns the address that the client calls.
func (c *Client) Addr() string { return c.addr }

// Placement returns where the discovery runs.
func (c *Client) Placement() Placement { return c.placement }

// Close ends all calls. It does not wait for them.
func (c *Client) Close() { c.cancel() }

// Done returns a channel that is closed once all calls end: by Close, or with the client's context.
func (c *Client) Done() <-chan struct{} { return c.ctx.Done() }

// Fetch gets the whole list and delivers one Fetched, after the last retry.
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

// fetchOnce gets the whole list within the timeout.
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
		err = errors.New("list: not the whole one")
	}
	return list, err
}

// get sends one request and returns the body of a response with status 200.
func (c *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(context.WithValue(ctx, callKey{}, ctx), http.MethodGet, url, nil)
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
