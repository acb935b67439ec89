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

// StreamResult compares streams through one entry host with direct ones.
type StreamResult struct {
	AtOnce int `json:"at-once"`
	// Direct and Through are tokens per second.
	Direct  float64 `json:"direct"`
	Through float64 `json:"through"`
	// DirectFirst and ThroughFirst are median times to the first token.
	DirectFirst  plan.Duration `json:"direct-first"`
	ThroughFirst plan.Duration `json:"through-first"`
	// StreamBytes is the memory that the host takes for one open stream.
	StreamBytes float64 `json:"stream-bytes"`
	Failed      int     `json:"failed"`
}

// streamPart is what one side of the comparison gave.
type streamPart struct {
	perSecond float64
	first     time.Duration
	bytes     float64
	failed    int
}

const (
	streamTokens = 200
	warmStreams  = 5
)

// Streams opens streams at once, direct to an engine and through one entry host
// in turn, in one process.
func Streams(ctx context.Context, o FleetOptions, atOnce int) (StreamResult, error) {
	o.Domains, o.Hosts, o.Engines = 1, 1, 1
	o.Engine.MaxBatchSize, o.Engine.StepSlowdown = 2*atOnce, 0
	o.Engine.KVCacheTokens = 1 << 30
	o.Engine.PromptTokensPerSecond = 1e7
	fleet, cleanup, err := NewFleet(o)
	if err != nil {
		return StreamResult{}, err
	}
	defer cleanup()
	class := o.Profile.Classes[0]
	class.Target = target(time.Minute, time.Minute)
	engine, through := fleet.Upstreams.Upstreams[0].Address, fleet.Hosts[0].Callers()
	openStreams(ctx, o.Profile.Model, class, engine, warmStreams, "warm")
	openStreams(ctx, o.Profile.Model, class, through, warmStreams, "warm")
	d := openStreams(ctx, o.Profile.Model, class, engine, atOnce, "direct")
	t := openStreams(ctx, o.Profile.Model, class, through, atOnce, "through")
	return StreamResult{
		AtOnce: atOnce, Direct: d.perSecond, Through: t.perSecond,
		DirectFirst: plan.Duration(d.first), ThroughFirst: plan.Duration(t.first),
		StreamBytes: (t.bytes - d.bytes) / float64(atOnce), Failed: d.failed + t.failed,
	}, nil
}

// openStreams opens streams at once and reads them to their end.
func openStreams(ctx context.Context, model plan.ModelID, class ClassLoad, address string, n int, name string) streamPart {
	client, cleanup := NewClient()
	defer cleanup()
	before := memoryInUse()
	results := make([]Result, n)
	started := time.Now()
	var wait sync.WaitGroup
	for i := range n {
		a := Arrival{
			Class: class, Account: AccountOf(class.planID(), i%2), Output: streamTokens,
			Prompt: fmt.Sprintf("%s stream %d of %d", name, i, n),
		}
		wait.Go(func() { results[i] = client.Send(ctx, address, model, a) })
	}
	time.Sleep(time.Second)
	out := streamPart{bytes: memoryInUse() - before}
	wait.Wait()
	span := time.Since(started).Seconds()
	var firsts []time.Duration
	tokens := 0
	for _, r := range results {
		tokens += r.Tokens
		firsts = append(firsts, r.FirstToken)
		if r.Code != "" || r.Foreign {
			out.failed++
		}
	}
	slices.Sort(firsts)
	out.first, out.perSecond = firsts[len(firsts)/2], float64(tokens)/span
	return out
}

// memoryInUse returns the memory of heap and stacks after a collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// WriteStreams writes results as a table.
func WriteStreams(w io.Writer, results []StreamResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "at once\tdirect tokens/s\tthrough\tratio\tdirect first token\tthrough\tmemory per stream\tfailed\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.2f\t%s\t%s\t%.0f KB\t%d\t\n", r.AtOnce, r.Direct, r.Through, r.Through/r.Direct,
			r.DirectFirst.Std().Round(10*time.Microsecond), r.ThroughFirst.Std().Round(10*time.Microsecond), r.StreamBytes/1024, r.Failed)
	}
	return t.Flush()
}
