package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
)

var (
	errWatchIdle       = errors.New("no data within the timeout")
	errWatchSuperseded = errors.New("another call of the watch was answered first")
)

// Watch opens a watch for the changes after the version since. It delivers a WatchEvent for each
// list on arrival, then one WatchEnded. The watch ends when the connection ends, delivers no data
// within the idle timeout or delivers an invalid list. It is retried only if it fails before its
// first list.
func (c *Client) Watch(since int64, retry Retry) {
	var result watchResult
	_ = c.withRetry(retry, func() error {
		result = c.watchHedged(since, retry)
		if result.receivedList {
			return nil
		}
		return result.err
	})
	c.deliver(WatchEnded{Err: result.err, Established: result.established(c.idleTimeout)})
}

// watchResult is the outcome of one watch, or of one call of it.
type watchResult struct {
	receivedList bool
	receivedData bool // a list or white space
	duration     time.Duration
	err          error // why it ended
}

// established reports whether the watch had worked before it ended; see WatchEnded.Established.
func (r watchResult) established(idleTimeout time.Duration) bool {
	return r.receivedList || r.receivedData && r.duration >= idleTimeout
}

// watchHedged runs one watch, which may consist of several calls; see hedgedWatch. A call to a new
// shared discovery waits for its first byte for at most newDiscoveryCallTimeout, so that it can be
// retried in time.
func (c *Client) watchHedged(since int64, retry Retry) watchResult {
	hedged := &hedgedWatch{client: c, since: since, firstByteTimeout: c.firstByteTimeout}
	if retry == RetryNewDiscovery && c.hedgeDelay == 0 {
		hedged.firstByteTimeout = min(hedged.firstByteTimeout, newDiscoveryCallTimeout)
	}
	return hedged.run(c.hedgeDelay)
}

// watchOnce makes one call of a watch and delivers its lists in order until it ends. It calls claim
// when the first data arrives. If claim returns false, another call was answered first: this call
// ends and delivers nothing.
func (c *Client) watchOnce(ctx context.Context, since int64, firstByteTimeout time.Duration, claim func() bool) (result watchResult) {
	start := time.Now()
	defer func() { result.duration = time.Since(start) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(firstByteTimeout, func() { cancel(errWatchIdle) })
	defer timer.Stop()
	body, err := c.get(ctx, c.url+"?follow=1&since="+strconv.FormatInt(since, 10))
	if err != nil {
		result.err = cmp.Or(context.Cause(ctx), err)
		return result
	}
	defer body.Close()
	reader := &listReader{source: body, onActivity: func() {
		if !result.receivedData && !claim() {
			cancel(errWatchSuperseded)
			return
		}
		result.receivedData = true
		timer.Reset(c.idleTimeout)
	}}
	result.err = c.deliverLists(ctx, reader, &result)
	return result
}

// deliverLists delivers the lists of a call until it ends, and returns the reason.
func (c *Client) deliverLists(ctx context.Context, reader *listReader, result *watchResult) error {
	lists := json.NewDecoder(reader)
	for {
		list, err := endpointlist.Decode(lists)
		var invalid *fielderror.Error
		if errors.As(err, &invalid) {
			return fmt.Errorf("list: %w", err)
		}
		if err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		if !result.receivedData {
			return errWatchSuperseded
		}
		result.receivedList = true
		c.deliver(WatchEvent{List: list})
		reader.listDecoded(lists.Buffered())
	}
}
