package load

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/clock"
)

// Sender sends one arrival and returns what came of it.
type Sender func(ctx context.Context, a Arrival) Result

// Play sends arrivals at their times, whether or not earlier ones have ended,
// and returns all results in the order of the arrivals. After the last arrival
// it waits for the rest at the most for the given time.
func Play(ctx context.Context, arrivals []Arrival, rest time.Duration, send Sender) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]Result, len(arrivals))
	started := time.Now()
	var wait sync.WaitGroup
	for i, a := range arrivals {
		clock.Sleep(ctx, time.Until(started.Add(a.At)))
		wait.Go(func() { results[i] = send(ctx, a) })
	}
	stop := time.AfterFunc(rest, cancel)
	defer stop.Stop()
	wait.Wait()
	return results
}
