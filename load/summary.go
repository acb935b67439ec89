package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberrydyke/plan"
)

// ClassSummary summarizes the results of the requests of one class and tier.
type ClassSummary struct {
	Class    plan.ClassID `json:"class"`
	Tier     plan.Tier    `json:"tier"`
	Sent     int          `json:"sent"`
	Complete int          `json:"whole"`
	// Attainment is the fraction of all requests that met their latency target.
	Attainment float64 `json:"attainment"`
	// GoodTokens counts the tokens of complete responses that met their target,
	// LateTokens those of the other complete responses.
	GoodTokens int `json:"good-tokens"`
	LateTokens int `json:"late-tokens"`
	// Refused counts the requests without a complete response by Result.Code. It
	// includes failures that are not refusals.
	Refused map[string]int `json:"refused"`
	// Corrupt counts the requests whose Result.Corrupt is set.
	Corrupt int `json:"foreign"`
	// FirstToken holds percentiles of the time to the first token of complete
	// responses.
	FirstToken Percentiles `json:"first-token"`
	// LongestGap is the longest time without a complete response between the
	// first and the last arrival.
	LongestGap plan.Duration `json:"longest-gap"`
}

// Percentiles holds percentiles of a latency.
type Percentiles struct {
	P50 plan.Duration `json:"p50"`
	P95 plan.Duration `json:"p95"`
	P99 plan.Duration `json:"p99"`
}

// Summary summarizes the results of one run.
type Summary struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Rate     float64        `json:"rate"`
	Duration plan.Duration  `json:"span"`
	Classes  []ClassSummary `json:"classes"`
	// Goodput is the tokens per second in responses that met their target.
	Goodput float64 `json:"goodput"`
	// GeneratedTokens counts the tokens that the engines generated,
	// DeliveredTokens those that reached callers in complete responses.
	GeneratedTokens int `json:"generated"`
	DeliveredTokens int `json:"delivered"`
	// WastedFraction is the fraction of generated tokens that were late, generated
	// again or discarded.
	WastedFraction float64 `json:"wasted"`
	// LostFraction is the fraction of generated tokens that were generated again or
	// discarded.
	LostFraction float64 `json:"lost"`
}

// Summarize summarizes the results of a run. generatedTokens is the number of tokens
// that all engines generated, or zero if unknown.
func Summarize(name string, seed uint64, rate float64, duration time.Duration, results []Result, generatedTokens int) Summary {
	summary := Summary{Name: name, Seed: seed, Rate: rate, Duration: plan.Duration(duration), GeneratedTokens: generatedTokens}
	groups := map[string][]Result{}
	for _, r := range results {
		key := fmt.Sprintf("%d %s", r.Tier, r.Class)
		groups[key] = append(groups[key], r)
	}
	goodTokens := 0
	for _, group := range groups {
		c := summarizeClass(group)
		goodTokens += c.GoodTokens
		summary.DeliveredTokens += c.GoodTokens + c.LateTokens
		summary.Classes = append(summary.Classes, c)
	}
	slices.SortFunc(summary.Classes, func(a, b ClassSummary) int {
		if a.Tier != b.Tier {
			return int(a.Tier - b.Tier)
		}
		return strings.Compare(string(a.Class), string(b.Class))
	})
	summary.Goodput = float64(goodTokens) / duration.Seconds()
	if generatedTokens > 0 {
		summary.WastedFraction = float64(generatedTokens-goodTokens) / float64(generatedTokens)
		summary.LostFraction = float64(generatedTokens-summary.DeliveredTokens) / float64(generatedTokens)
	}
	return summary
}

// summarizeClass summarizes results of one class and tier. Latencies are recorded in
// microseconds, up to ten minutes.
func summarizeClass(results []Result) ClassSummary {
	const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	firstToken := hdrhistogram.New(1, maxLatencyMicros, 3)
	summary := ClassSummary{Class: results[0].Class, Tier: results[0].Tier, Sent: len(results), Refused: map[string]int{}}
	var completions []time.Duration
	metTarget := 0
	for _, r := range results {
		if r.Corrupt {
			summary.Corrupt++
		}
		if r.Code != "" {
			summary.Refused[r.Code]++
			continue
		}
		summary.Complete++
		completions = append(completions, r.Offset+r.Total)
		_ = firstToken.RecordValue(max(1, r.FirstToken.Microseconds()))
		if r.MetTarget {
			metTarget++
			summary.GoodTokens += r.Tokens
			continue
		}
		summary.LateTokens += r.Tokens
	}
	summary.Attainment = float64(metTarget) / float64(len(results))
	summary.LongestGap = plan.Duration(longestGap(results, completions))
	percentile := func(p float64) plan.Duration {
		return plan.Duration(time.Duration(firstToken.ValueAtQuantile(p)) * time.Microsecond)
	}
	summary.FirstToken = Percentiles{P50: percentile(50), P95: percentile(95), P99: percentile(99)}
	return summary
}

// longestGap returns the longest time without a completion between the first and the
// last arrival.
func longestGap(results []Result, completions []time.Duration) time.Duration {
	first, last := results[0].Offset, results[0].Offset
	for _, r := range results {
		first, last = min(first, r.Offset), max(last, r.Offset)
	}
	slices.Sort(completions)
	longest, previous := time.Duration(0), first
	for _, completion := range completions {
		if completion > last {
			break
		}
		longest = max(longest, completion-previous)
		previous = completion
	}
	return max(longest, last-previous)
}

// WriteTable writes the summary as a table.
func (s Summary) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "tier\tclass\tsent\twhole\tattained\tfirst token p50\tp95\tp99\trefused\tlongest gap\t\n")
	for _, c := range s.Classes {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t\n", c.Tier, c.Class, c.Sent, c.Complete,
			100*c.Attainment, roundToMillis(c.FirstToken.P50), roundToMillis(c.FirstToken.P95), roundToMillis(c.FirstToken.P99),
			formatRefusals(c.Refused), roundToMillis(c.LongestGap))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%s: seed %d, %.1f requests/s for %s: goodput %.0f tokens/s, wasted %.2f%%, including %.2f%% lost\n",
		s.Name, s.Seed, s.Rate, s.Duration.Std(), s.Goodput, 100*s.WastedFraction, 100*s.LostFraction)
	return err
}

func roundToMillis(d plan.Duration) time.Duration { return d.Std().Round(time.Millisecond) }

// formatRefusals lists refusal codes with their counts, sorted by code.
func formatRefusals(refused map[string]int) string {
	var parts []string
	for code, n := range refused {
		parts = append(parts, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
