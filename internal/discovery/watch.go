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
)

var (
	errWatchSilent     = errors.New("watch fell silent")
	errWatchSuperseded = errors.New("another call of the watch was answered first")
)

// Watch follows the changes after the version since until the connection ends, falls silent or
// delivers a line that is no list. It delivers a WatchEvent for each list as it comes, then one
// WatchEnded. Only a watch that fails before it delivers a list is retried.
func (c *Client) Watch(since int64, retry Retry) {
	var result watchResult
	_ = c.withRetry(retry, func() error {
		result = c.watchHedged(since, retry)
		if result.notified {
			return nil
		}
		return result.err
	})
	c.deliver(WatchEnded{Err: result.err, Established: result.established(c.idleTimeout)})
}

// watchResult is how one watch, or one call of it, went.
type watchResult struct {
	notified bool // it delivered a list
	alive    bool // it delivered anything
	lasted   time.Duration
	err      error // why it ended
}

// established reports whether a watch has ended that had worked, see WatchEnded.
func (r watchResult) established(silence time.Duration) bool {
	return r.notified || r.alive && r.lasted >= silence
}

// watchHedged is one watch, whatever the number of its calls. A new discovery that is shared is not
// waited for longer than newDiscoveryCallTimeout before it is called again.
func (c *Client) watchHedged(since int64, retry Retry) watchResult {
	hedged := &hedgedWatch{client: c, since: since, firstByte: c.firstByteTimeout}
	if retry == RetryNewDiscovery && c.hedgeDelay == 0 {
		hedged.firstByte = min(hedged.firstByte, newDiscoveryCallTimeout)
	}
	return hedged.run(c.hedgeDelay)
}

// watchOnce is one call of a watch: it delivers the lists that come, in order, until it ends. What
// comes counts only if claim returns true when the first of it does.
func (c *Client) watchOnce(ctx context.Context, since int64, firstByte time.Duration, claim func() bool) (result watchResult) {
	began := time.Now()
	defer func() { result.lasted = time.Since(began) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstByte, func() { cancel(errWatchSilent) })
	defer silence.Stop()
	body, err := c.get(ctx, c.url+"?follow=1&since="+strconv.FormatInt(since, 10))
	if err != nil {
		result.err = cmp.Or(context.Cause(ctx), err)
		return result
	}
	defer body.Close()
	reader := &listReader{from: body, heard: func() {
		if !result.alive && !claim() {
			cancel(errWatchSuperseded)
			return
		}
		result.alive = true
		silence.Reset(c.idleTimeout)
	}}
	result.err = c.deliverLists(ctx, reader, &result)
	return result
}

// deliverLists delivers the lists of a watch until it ends, and returns why.
func (c *Client) deliverLists(ctx context.Context, reader *listReader, result *watchResult) error {
	lists := json.NewDecoder(reader)
	for {
		var list endpointlist.List
		if err := lists.Decode(&list); err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		if err := list.Validate(); err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if !result.alive {
			return errWatchSuperseded
		}
		result.notified = true
		c.deliver(WatchEvent{List: list})
		reader.next(lists.Buffered())
	}
}
