package load

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/clock"
)

// SendFunc sends one arrival and returns what came of it.
type SendFunc func(ctx context.Context, a Arrival) Result

// Replay sends arrivals at their times, whether or not earlier ones have ended,
// and returns all results in the order of the arrivals. After the last arrival
// it waits for the rest at the most for the given time.
func Replay(ctx context.Context, arrivals []Arrival, rest time.Duration, send SendFunc) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]Result, len(arrivals))
	started := time.Now()
	var wait sync.WaitGroup
	for i, a := range arrivals {
		clock.Pause(ctx, time.Until(started.Add(a.Offset)))
		wait.Go(func() { results[i] = send(ctx, a) })
	}
	stop := time.AfterFunc(rest, cancel)
	defer stop.Stop()
	wait.Wait()
	return results
}
