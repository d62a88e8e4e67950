package main

import (
	"context"
	"iter"
	"sync"
)

// runJobs calls run for all items, for up to jobs items at the same time. It starts no more items
// when one fails or when ctx ends. It returns the first error or the cause of ctx's end, after all
// started items have ended.
func runJobs[T any](ctx context.Context, jobs int, items iter.Seq[T], run func(context.Context, T) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	queue := make(chan T)
	var workers sync.WaitGroup
	for range jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for item := range queue {
				if err := run(ctx, item); err != nil {
					cancel(err)
				}
			}
		}()
	}
	for item := range items {
		if ctx.Err() != nil {
			break
		}
		queue <- item
	}
	close(queue)
	workers.Wait()
	return context.Cause(ctx)
}
