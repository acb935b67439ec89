package load

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"mulberrydyke/plan"
)

// StreamComparison compares concurrent streams through one entry host with streams
// directly from the engine.
type StreamComparison struct {
	// Concurrency is the number of concurrent streams.
	Concurrency int `json:"at-once"`
	// DirectTokensPerSecond and RoutedTokensPerSecond are totals over all streams.
	DirectTokensPerSecond float64 `json:"direct"`
	RoutedTokensPerSecond float64 `json:"through"`
	// DirectFirstToken and RoutedFirstToken are median times to the first token.
	DirectFirstToken plan.Duration `json:"direct-first"`
	RoutedFirstToken plan.Duration `json:"through-first"`
	// BytesPerStream is the memory that the host uses for one open stream.
	BytesPerStream float64 `json:"stream-bytes"`
	// Failed is the number of streams without a complete, correct response.
	Failed int `json:"failed"`
}

// streamMeasurement holds the figures of one side of the comparison. The growth of
// memory is in bytes.
type streamMeasurement struct {
	tokensPerSecond  float64
	medianFirstToken time.Duration
	memoryGrowth     float64
	failed           int
}

const (
	tokensPerStream = 200
	warmUpStreams   = 5
)

// CompareStreams runs concurrent streams first directly from an engine, then through
// an entry host, all in one process. It configures the engine so that its limits
// don't slow down the streams.
func CompareStreams(ctx context.Context, options FleetOptions, concurrency int) (StreamComparison, error) {
	options.Domains, options.HostsPerDomain, options.EnginesPerDomain = 1, 1, 1
	options.Engine.MaxBatchSize, options.Engine.StepSlowdown = 2*concurrency, 0
	options.Engine.KVCacheTokens = 1 << 30
	options.Engine.PromptTokensPerSecond = 1e7
	fleet, cleanup, err := NewFleet(options)
	if err != nil {
		return StreamComparison{}, err
	}
	defer cleanup()
	class := options.Profile.Classes[0]
	class.Target = latencyTarget(time.Minute, time.Minute)
	engineAddress, hostAddress := fleet.Upstreams.Upstreams[0].Address, fleet.Hosts[0].CallerAddress()
	runStreams(ctx, options.Profile.Model, class, engineAddress, warmUpStreams, "warm")
	runStreams(ctx, options.Profile.Model, class, hostAddress, warmUpStreams, "warm")
	direct := runStreams(ctx, options.Profile.Model, class, engineAddress, concurrency, "direct")
	routed := runStreams(ctx, options.Profile.Model, class, hostAddress, concurrency, "through")
	return StreamComparison{
		Concurrency: concurrency, DirectTokensPerSecond: direct.tokensPerSecond, RoutedTokensPerSecond: routed.tokensPerSecond,
		DirectFirstToken: plan.Duration(direct.medianFirstToken), RoutedFirstToken: plan.Duration(routed.medianFirstToken),
		BytesPerStream: (routed.memoryGrowth - direct.memoryGrowth) / float64(concurrency), Failed: direct.failed + routed.failed,
	}, nil
}

// runStreams opens n concurrent streams and reads them to the end. It measures memory
// a second after the start, while the streams are open.
func runStreams(ctx context.Context, model plan.ModelID, class ClassLoad, address string, n int, label string) streamMeasurement {
	client, cleanup := NewClient()
	defer cleanup()
	memoryBefore := memoryInUse()
	results := make([]Result, n)
	started := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		a := Arrival{
			Class: class, Account: AccountID(class.planID(), i%2), OutputTokens: tokensPerStream,
			Prompt: fmt.Sprintf("%s stream %d of %d", label, i, n),
		}
		wg.Go(func() { results[i] = client.Send(ctx, address, model, a) })
	}
	time.Sleep(time.Second)
	measurement := streamMeasurement{memoryGrowth: memoryInUse() - memoryBefore}
	wg.Wait()
	seconds := time.Since(started).Seconds()
	var firstTokens []time.Duration
	totalTokens := 0
	for _, r := range results {
		totalTokens += r.Tokens
		firstTokens = append(firstTokens, r.FirstToken)
		if r.Code != "" || r.Corrupt {
			measurement.failed++
		}
	}
	slices.Sort(firstTokens)
	measurement.medianFirstToken, measurement.tokensPerSecond = firstTokens[len(firstTokens)/2], float64(totalTokens)/seconds
	return measurement
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// WriteStreamTable writes comparisons as a table.
func WriteStreamTable(w io.Writer, results []StreamComparison) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "at once\tdirect tokens/s\tthrough\tratio\tdirect first token\tthrough\tmemory per stream\tfailed\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.2f\t%s\t%s\t%.0f KB\t%d\t\n", r.Concurrency, r.DirectTokensPerSecond, r.RoutedTokensPerSecond, r.RoutedTokensPerSecond/r.DirectTokensPerSecond,
			r.DirectFirstToken.Std().Round(10*time.Microsecond), r.RoutedFirstToken.Std().Round(10*time.Microsecond), r.BytesPerStream/1024, r.Failed)
	}
	return table.Flush()
}
