package agent

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/socket"
)

const (
	// watchSilence is how long a watch may deliver nothing before it is ended. Discovery writes a
	// line every 2 s. What it has to say counts as known to the agent 6 s after it fell silent, the
	// wait before the next call and that call included.
	watchSilence = 3 * time.Second
	// firstWordTimeout is the same for the first bytes of a call to a discovery that serves many
	// agents in turn: it has failed what waited for 2 s, and a call that is given up later would
	// leave too little of the 6 s to the next.
	firstWordTimeout = 2500 * time.Millisecond
	// localHedgeDelay is after how long without a byte another call is made beside the first to a
	// discovery on the agent's own machine: what it has when it is back after an outage counts as
	// notified, and has the drains' grace.
	localHedgeDelay = 750 * time.Millisecond
	// fetchTimeout bounds a fetch from its connect to its last byte.
	fetchTimeout = 3 * time.Second
	// maxListHead bounds the header of a response, in bytes.
	maxListHead = 64 << 10
)

// What a new discovery has to say counts as known to the agent after 4 s. So a call to it that fails
// is tried again for newDiscoveryRetryTime, each time newDiscoveryRetryInterval after the failure,
// and is given up after newDiscoveryCallTimeout.
const (
	newDiscoveryRetryTime     = 4 * time.Second
	newDiscoveryRetryInterval = 200 * time.Millisecond
	newDiscoveryCallTimeout   = 1300 * time.Millisecond
)

// A call that this machine could not make, for want of a descriptor, a port or a route, has not
// reached discovery and costs it nothing: it is made again after localCallBackoff, which doubles to
// longestCallBackoff. So discovery is called within 0.1 s of the end of the want, long before what
// it has to say counts as known, and no more than some 20 connects a second are tried.
const (
	localCallBackoff   = 25 * time.Millisecond
	longestCallBackoff = 100 * time.Millisecond
)

// discovery calls the service that lists the backends.
//
// Its methods fetch and watch block. The loop runs each in a goroutine of its own, at most one
// fetch and one watch at a time, and gets what they bring by post: a fetch ends with one
// endpointsFetched, a watch with one watchEnded. The calls of a discovery, and with them those
// goroutines, end with its ctx: when the loop closes it for another one, or with the loop's.
type discovery struct {
	addr       string
	base       string // URL of the whole list
	generation int    // tells what one discovery brings from what the one before it did
	client     *http.Client
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	post       func(input)
	pause      func(time.Duration) bool // waits; false: the calls end

	firstWordTimeout time.Duration // within which a call of a watch must deliver its first bytes
	hedgeAfter       time.Duration // after which a watch makes another call; 0: never
	after            func(time.Duration) <-chan time.Time
	silence          time.Duration // a watch that delivered nothing for so long is ended

	ctx   context.Context
	close context.CancelFunc // ends all calls
}

// callKey finds a call's own context in the one that the transport dials with.
type callKey struct{}

func newDiscovery(ctx context.Context, addr string, generation int, post func(input)) *discovery {
	d := &discovery{addr: addr, base: "http://" + addr + "/v1/endpoints", generation: generation, post: post,
		firstWordTimeout: watchSilence, silence: watchSilence, after: time.After, dial: (&net.Dialer{}).DialContext}
	d.client = &http.Client{
		Transport: &http.Transport{
			// A connection a call: one that is kept could break under the next call, which the
			// transport would then send twice, and each call is work for discovery.
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxListHead,
			// Left to itself the transport goes on dialling after the call was given up. Where
			// connections never come up each call would hold a descriptor for minutes.
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return d.dial(ctx.Value(callKey{}).(context.Context), network, addr)
			},
		},
		// Discovery is where the configuration says, not where a response points.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	d.ctx, d.close = context.WithCancel(ctx)
	d.pause = d.sleep
	return d
}

// fetch gets the whole list once and posts it, or why there is none. Of a new discovery it is tried
// again for a while.
func (d *discovery) fetch(isNew bool) {
	timeout := fetchTimeout
	if isNew {
		timeout = newDiscoveryCallTimeout
	}
	var list endpointlist.List
	err := d.retryWhileNew(isNew, func() (err error) {
		list, err = d.fetchOnce(timeout)
		return err
	})
	d.post(endpointsFetched{generation: d.generation, list: list, err: err})
}

// fetchOnce gets the whole list within the timeout.
func (d *discovery) fetchOnce(timeout time.Duration) (endpointlist.List, error) {
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	body, err := d.get(ctx, d.base)
	if err != nil {
		return endpointlist.List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxList))
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
func (d *discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(context.WithValue(ctx, callKey{}, ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.New(resp.Status)
	}
	return resp.Body, nil
}

// retryWhileNew tries a call until it succeeds: for newDiscoveryRetryTime if the discovery is new,
// else once. It returns the last error.
func (d *discovery) retryWhileNew(isNew bool, try func() error) error {
	end := time.Now().Add(newDiscoveryRetryTime)
	for {
		err := d.untilSent(try)
		if err == nil || !isNew || time.Now().After(end) || !d.pause(newDiscoveryRetryInterval) {
			return err
		}
	}
}

// untilSent tries a call until it has left this machine: what fails before is no failed call of
// discovery, after which the next one would have to wait.
func (d *discovery) untilSent(try func() error) error {
	for backoff := localCallBackoff; ; backoff = min(2*backoff, longestCallBackoff) {
		err := try()
		if !neverLeft(err) || !d.pause(backoff/2+rand.N(backoff/2)) {
			return err
		}
	}
}

// neverLeft reports whether a call failed on this machine, before anything of it was sent.
func neverLeft(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && (socket.IsLocalError(err) || socket.IsUnreachable(err))
}

// sleep waits, and reports whether the calls go on.
func (d *discovery) sleep(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}
