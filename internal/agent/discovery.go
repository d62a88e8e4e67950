package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"ploverreel/policy"
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

// List is a list of backends, or a change of it, in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is one backend of a list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

var healths = map[string]policy.Health{
	"ready": policy.HealthReady, "draining": policy.HealthDraining, "gone": policy.HealthGone,
}

var (
	errWatchSilent = errors.New("watch fell silent")
	errListTooLong = errors.New("list: longer than any may be")
)

// parseList reads one list and reports the first entry that makes no sense.
func parseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	return l, l.check()
}

// check reports the first part of a list that makes no sense.
func (l *List) check() error {
	if l.Hosts == nil {
		return errors.New("hosts: missing") // of other JSON no list may be made that names nobody
	}
	for i, h := range l.Hosts {
		health, known := healths[h.Health]
		switch {
		case h.Host == "":
			return fmt.Errorf("hosts[%d].host: missing", i)
		case !known:
			return fmt.Errorf("hosts[%d].health: unknown word %q", i, h.Health)
		case health != policy.HealthGone && checkAddress(h.Dial) != nil:
			return fmt.Errorf("hosts[%d].dial: no address with a port: %q", i, h.Dial)
		}
	}
	return nil
}

// entry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *nameIndex) entry(h *Host) policy.Entry {
	at := func(m map[string]int, word string) int {
		if i, ok := m[word]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: addrOf(h.Host), Zone: at(n.sites, h.Site), Cell: h.Block,
		MachineKind: at(n.kinds, h.Class), StartedMs: h.BornMs, Health: healths[h.Health], Weight: h.Share}
}

// addrOf gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func addrOf(host string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

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
		dial: (&net.Dialer{}).DialContext}
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
	d.post = func(in input) {
		in.discoveryGen = gen
		post(in)
	}
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
	d.post(input{kind: inputFetched, list: l, err: err})
}

// watch follows the changes after version since until the connection ends, falls
// silent or holds a line that makes no sense.
func (d *discovery) watch(since int64, eager bool) {
	var w watchResult
	_ = d.retryWhileNew(eager, func() error {
		w = d.watchOnce(since, eager)
		if w.notified {
			return nil
		}
		return w.err
	})
	d.post(input{kind: inputWatchEnded, err: w.err, endedAfterNotice: w.endedAfterNotice(d.silence)})
}

// watched is how a watch went.
type watchResult struct {
	notified bool // a list came
	alive    bool // anything came
	lasted   time.Duration
	err      error // why it ended
}

// lost tells whether a watch that had lived has ended, and no call that failed. One that had
// told has lived, however short: held for a failed call it was opened again seconds later,
// as if discovery were down, when what it should have told already counted.
func (w watchResult) endedAfterNotice(silence time.Duration) bool {
	return w.notified || w.alive && w.lasted >= silence
}

// follow is one watch.
func (d *discovery) watchOnce(since int64, eager bool) (w watchResult) {
	began := time.Now()
	defer func() { w.lasted = time.Since(began) }()
	ctx, cancel := context.WithCancelCause(d.ctx)
	defer cancel(nil)
	first := d.firstWordTimeout
	if eager {
		first = min(first, newDiscoveryCallTimeout)
	}
	dead := time.AfterFunc(first, func() { cancel(errWatchSilent) })
	defer dead.Stop()
	body, err := d.get(ctx, d.base+"?follow=1&since="+strconv.FormatInt(since, 10))
	if err != nil {
		w.err = cmp.Or(context.Cause(ctx), err)
		return w
	}
	defer body.Close()
	f := &listReader{from: body, heard: func() {
		w.alive = true
		dead.Reset(d.silence)
	}}
	lists := json.NewDecoder(f)
	for {
		var l List
		if err := lists.Decode(&l); err != nil {
			w.err = cmp.Or(context.Cause(ctx), err)
			return w
		}
		if err := l.check(); err != nil {
			w.err = fmt.Errorf("list: %w", err)
			return w
		}
		w.notified = true
		d.post(input{kind: inputWatchEvent, list: l})
		f.next(lists.Buffered())
	}
}

// feed is the text of a watch: lists, each of them over one line or many, and white space
// between them as a sign of life. A list that has begun must come whole within the time and
// the length that a list may take.
type listReader struct {
	from  io.Reader
	heard func() // something came that proves that the watch lives
	begun int    // bytes of the list that is coming; 0: between two
}

func (f *listReader) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	between := f.begun == 0
	f.count(p[:n])
	if n > 0 && between {
		f.heard()
	}
	if f.begun > maxList {
		return 0, errListTooLong
	}
	return n, err
}

func (f *listReader) count(text []byte) {
	if f.begun > 0 || len(bytes.TrimSpace(text)) > 0 {
		f.begun += len(text)
	}
}

// next is called after a list; rest is what was read behind it.
func (f *listReader) next(rest io.Reader) {
	f.heard()
	f.begun = 0
	text, _ := io.ReadAll(rest) // of memory: it can't fail
	f.count(text)
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
