package agent

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// watchSilence ends a watch on which nothing came: discovery writes a line every 2 s,
	// and what it has to tell counts as told 6 s after it fell silent, the wait before the
	// next call and that call included.
	watchSilence = 3 * time.Second
	// callFirst is the same for the first word of a call to a discovery that serves many in
	// turn: it has failed what waited for 2 s, and a call that is given up later would leave
	// too little of the 6 s to the next.
	firstWordTimeout = 2500 * time.Millisecond
	// localFirst is the same for the first word of a watch on the agent's own machine, which
	// answers at once: what it has when it is back counts as told, and has the drains' grace.
	localFirstWordTimeout = 750 * time.Millisecond
	fetchTimeout          = 3 * time.Second
	maxList               = 4 << 20  // bytes of one list
	maxListHead           = 64 << 10 // of the answer's head
	// What a new discovery tells counts as told after 4 s: the first calls are tried
	// again for eagerFor, eagerEvery after one that failed or took over eagerTry.
	newDiscoveryRetryTime, newDiscoveryRetryInterval, newDiscoveryCallTimeout = 4 * time.Second, 200 * time.Millisecond, 1300 * time.Millisecond
	// A call that this machine could not make, for want of a descriptor, a port or a route, has not
	// reached discovery and costs it nothing: it is made again after localCallBackoff, which doubles to
	// longestCallBackoff. So discovery is called 0.1 s after the moment has passed, long before what
	// it has counts as told, and no more than some 20 connects a second are tried.
	localCallBackoff, longestCallBackoff = 25 * time.Millisecond, 100 * time.Millisecond
)

var (
	errWatchSilent = errors.New("watch fell silent")
	errListTooLong = errors.New("list: longer than any may be")
)

// discovery asks the service that lists the backends. Its methods block; the loop
// runs each in a goroutine of its own, and hears of the result by post.
type discovery struct {
	addr             string
	base             string
	generation       int // tells the results of one discovery from those of the one before
	client           *http.Client
	dial             func(ctx context.Context, network, addr string) (net.Conn, error)
	post             func(input)
	pause            func(time.Duration) bool // false: the calls end
	firstWordTimeout time.Duration            // within which a watch must begin to tell
	silence          time.Duration            // after which it has ended
	ctx              context.Context
	close            context.CancelFunc // ends all calls
}

// callKey finds a call's own context in the one that the transport dials with.
type callKey struct{}

func newDiscovery(ctx context.Context, addr string, gen int, post func(input)) *discovery {
	d := &discovery{addr: addr, base: "http://" + addr + "/v1/endpoints", generation: gen, firstWordTimeout: watchSilence, silence: watchSilence,
		dial: (&net.Dialer{}).DialContext, post: post}
	d.client = &http.Client{
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for discovery.
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxListHead,
			// Left to itself the transport goes on dialling after the call was given up. Where
			// connections never come up each call would hold a descriptor for minutes.
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return d.dial(ctx.Value(callKey{}).(context.Context), network, addr)
			}},
		// Discovery is where the configuration says, not where an answer points.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	d.ctx, d.close = context.WithCancel(ctx)
	d.pause = d.sleep
	return d
}

// eagerly tries a call until it goes through, for a while if the discovery is new.
func (d *discovery) retryWhileNew(eager bool, try func() error) error {
	end := time.Now().Add(newDiscoveryRetryTime)
	for {
		err := d.untilSent(try)
		if err == nil || !eager || time.Now().After(end) || !d.pause(newDiscoveryRetryInterval) {
			return err
		}
	}
}

// leaving tries a call until it has left this machine: what fails here is no failed call of
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
	return errors.As(err, &op) && op.Op == "dial" && (isLocalError(err) || isUnreachable(err))
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

// fetch asks for the whole list once.
func (d *discovery) fetch(eager bool) {
	var l List
	timeout := fetchTimeout
	if eager {
		timeout = newDiscoveryCallTimeout
	}
	err := d.retryWhileNew(eager, func() error {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		body, err := d.get(ctx, d.base)
		if err != nil {
			return err
		}
		defer body.Close()
		text, err := io.ReadAll(io.LimitReader(body, maxList))
		if err != nil {
			return err
		}
		if l, err = parseList(text); err == nil && !l.Whole {
			err = errors.New("list: not the whole one")
		}
		return err
	})
	d.post(endpointsFetched{generation: d.generation, list: l, err: err})
}

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
