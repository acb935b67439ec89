package load

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/clock"
)

// SendFunc sends the request of one arrival and returns its result.
type SendFunc func(ctx context.Context, a Arrival) Result

// Replay sends arrivals at their times, whether or not earlier requests have ended
// (an open-loop load), and returns the results in the order of the arrivals. After
// the last arrival it waits at most drainTimeout, then cancels the requests that are
// still in progress.
func Replay(ctx context.Context, arrivals []Arrival, drainTimeout time.Duration, send SendFunc) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]Result, len(arrivals))
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		clock.Sleep(ctx, time.Until(start.Add(a.Offset)))
		wg.Go(func() { results[i] = send(ctx, a) })
	}
	drainTimer := time.AfterFunc(drainTimeout, cancel)
	defer drainTimer.Stop()
	wg.Wait()
	return results
}
