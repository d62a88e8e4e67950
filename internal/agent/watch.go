package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"
)

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
	d.post(watchEnded{generation: d.generation, err: w.err, endedAfterNotice: w.endedAfterNotice(d.silence)})
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
		d.post(watchEvent{generation: d.generation, list: l})
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
