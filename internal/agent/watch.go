package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"ploverreel/internal/endpointlist"
)

// maxList bounds one list, in bytes.
const maxList = 4 << 20

var (
	errWatchSilent = errors.New("watch fell silent")
	errListTooLong = errors.New("list: longer than any may be")
)

// watch follows the changes after the version since until the connection ends, falls silent or
// delivers a line that is no list. Each list is posted as it comes, then the end. Of a new discovery
// the watch is tried again for a while as long as it delivers no list.
func (d *discovery) watch(since int64, isNew bool) {
	var result watchResult
	_ = d.retryWhileNew(isNew, func() error {
		result = d.watchHedged(since, isNew)
		if result.notified {
			return nil
		}
		return result.err
	})
	d.post(watchEnded{generation: d.generation, err: result.err, endedAfterNotice: result.endedAfterNotice(d.silence)})
}

// watchResult is how one watch went.
type watchResult struct {
	notified bool // it delivered a list
	alive    bool // it delivered anything
	lasted   time.Duration
	err      error // why it ended
}

// endedAfterNotice reports whether a watch has ended that had worked, which is no failed call. One
// that delivered a list has worked, however short it was: the next one is opened without the wait
// that follows a failed call, as what it has to say soon counts as known.
func (r watchResult) endedAfterNotice(silence time.Duration) bool {
	return r.notified || r.alive && r.lasted >= silence
}

// watchHedged is one watch, whatever the number of its calls. A new discovery that is shared is not
// waited for longer than newDiscoveryCallTimeout before it is called again.
func (d *discovery) watchHedged(since int64, isNew bool) watchResult {
	hedged := &hedgedWatch{discovery: d, since: since, firstWord: d.firstWordTimeout}
	if isNew && d.hedgeAfter == 0 {
		hedged.firstWord = min(hedged.firstWord, newDiscoveryCallTimeout)
	}
	return hedged.run(d.hedgeAfter)
}

// watchOnce is one call of a watch: it posts the lists that come, in order, until it ends. What comes
// counts only if claim says so as the first of it does.
func (d *discovery) watchOnce(ctx context.Context, since int64, firstWord time.Duration, claim func() bool) (result watchResult) {
	began := time.Now()
	defer func() { result.lasted = time.Since(began) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstWord, func() { cancel(errWatchSilent) })
	defer silence.Stop()
	body, err := d.get(ctx, d.base+"?follow=1&since="+strconv.FormatInt(since, 10))
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
		silence.Reset(d.silence)
	}}
	lists := json.NewDecoder(reader)
	for {
		var list endpointlist.List
		if err := lists.Decode(&list); err != nil {
			result.err = cmp.Or(context.Cause(ctx), err)
			return result
		}
		if err := list.Validate(); err != nil {
			result.err = fmt.Errorf("list: %w", err)
			return result
		}
		if !result.alive {
			result.err = errWatchSuperseded
			return result
		}
		result.notified = true
		d.post(watchEvent{generation: d.generation, list: list})
		reader.next(lists.Buffered())
	}
}

// listReader reads the text of a watch: lists, each of them over one line or many, and white space
// between them as a sign of life. A list that has begun must be complete within the time that a
// watch may be silent, and within maxList bytes.
type listReader struct {
	from  io.Reader
	heard func() // is called when something came that proves the watch alive
	begun int    // bytes of the list that is coming; 0: between two
}

// Read reads from the watch. Its error is errListTooLong in the midst of a list of over maxList
// bytes, else that of the connection.
func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	between := r.begun == 0
	r.count(p[:n])
	if n > 0 && between {
		r.heard()
	}
	if r.begun > maxList {
		return 0, errListTooLong
	}
	return n, err
}

// count adds text to the list that is coming, if it has begun or begins with it.
func (r *listReader) count(text []byte) {
	if r.begun > 0 || len(bytes.TrimSpace(text)) > 0 {
		r.begun += len(text)
	}
}

// next is called after a list; rest is what was read behind it.
func (r *listReader) next(rest io.Reader) {
	r.heard()
	r.begun = 0
	text, _ := io.ReadAll(rest) // of memory: it can't fail
	r.count(text)
}
