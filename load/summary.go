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

// ClassSummary is what the callers of one class and tier got.
type ClassSummary struct {
	Class    plan.ClassID `json:"class"`
	Tier     plan.Tier    `json:"tier"`
	Sent     int          `json:"sent"`
	Complete int          `json:"whole"`
	// Attainment is the part of all requests that met their latency target.
	Attainment float64 `json:"attainment"`
	// GoodTokens came in answers that met their target.
	GoodTokens int            `json:"good-tokens"`
	LateTokens int            `json:"late-tokens"`
	Refused    map[string]int `json:"refused"`
	Corrupt    int            `json:"foreign"`
	// FirstToken gives percentiles of whole answers.
	FirstToken Percentiles `json:"first-token"`
	// LongestGap is the longest time without a whole answer between the first
	// and the last arrival.
	LongestGap plan.Duration `json:"longest-gap"`
}

// Percentiles of a latency.
type Percentiles struct {
	P50 plan.Duration `json:"p50"`
	P95 plan.Duration `json:"p95"`
	P99 plan.Duration `json:"p99"`
}

// Summary is the result of one run.
type Summary struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Rate     float64        `json:"rate"`
	Duration plan.Duration  `json:"span"`
	Classes  []ClassSummary `json:"classes"`
	// Goodput is the tokens per second of answers that met their target.
	Goodput float64 `json:"goodput"`
	// Generated is what the engines generated, Delivered what reached callers
	// in whole answers.
	GeneratedTokens int `json:"generated"`
	DeliveredTokens int `json:"delivered"`
	// Wasted is the part of generated tokens that was late, redone or thrown
	// away.
	WastedFraction float64 `json:"wasted"`
	// Lost is the part of generated tokens that was redone or thrown away.
	LostFraction float64 `json:"lost"`
}

// Summarize sums up the results of a run. Generated is the number of tokens
// that all engines generated.
func Summarize(name string, seed uint64, rate float64, span time.Duration, results []Result, generated int) Summary {
	out := Summary{Name: name, Seed: seed, Rate: rate, Duration: plan.Duration(span), GeneratedTokens: generated}
	groups := map[string][]Result{}
	for _, r := range results {
		key := fmt.Sprintf("%d %s", r.Tier, r.Class)
		groups[key] = append(groups[key], r)
	}
	good := 0
	for _, group := range groups {
		c := summarizeClass(group)
		good += c.GoodTokens
		out.DeliveredTokens += c.GoodTokens + c.LateTokens
		out.Classes = append(out.Classes, c)
	}
	slices.SortFunc(out.Classes, func(a, b ClassSummary) int {
		if a.Tier != b.Tier {
			return int(a.Tier - b.Tier)
		}
		return strings.Compare(string(a.Class), string(b.Class))
	})
	out.Goodput = float64(good) / span.Seconds()
	if generated > 0 {
		out.WastedFraction = float64(generated-good) / float64(generated)
		out.LostFraction = float64(generated-out.DeliveredTokens) / float64(generated)
	}
	return out
}

func summarizeClass(results []Result) ClassSummary {
	const longest = int64(10 * time.Minute / time.Microsecond)
	first := hdrhistogram.New(1, longest, 3)
	out := ClassSummary{Class: results[0].Class, Tier: results[0].Tier, Sent: len(results), Refused: map[string]int{}}
	var ends []time.Duration
	attained := 0
	for _, r := range results {
		if r.Corrupt {
			out.Corrupt++
		}
		if r.Code != "" {
			out.Refused[r.Code]++
			continue
		}
		out.Complete++
		ends = append(ends, r.Offset+r.Total)
		_ = first.RecordValue(max(1, r.FirstToken.Microseconds()))
		if r.MetTarget {
			attained++
			out.GoodTokens += r.Tokens
			continue
		}
		out.LateTokens += r.Tokens
	}
	out.Attainment = float64(attained) / float64(len(results))
	out.LongestGap = plan.Duration(longestGap(results, ends))
	at := func(q float64) plan.Duration {
		return plan.Duration(time.Duration(first.ValueAtQuantile(q)) * time.Microsecond)
	}
	out.FirstToken = Percentiles{P50: at(50), P95: at(95), P99: at(99)}
	return out
}

// longestGap returns the longest time without an end between the first and the
// last arrival.
func longestGap(results []Result, ends []time.Duration) time.Duration {
	first, last := results[0].Offset, results[0].Offset
	for _, r := range results {
		first, last = min(first, r.Offset), max(last, r.Offset)
	}
	slices.Sort(ends)
	longest, before := time.Duration(0), first
	for _, end := range ends {
		if end > last {
			break
		}
		longest = max(longest, end-before)
		before = end
	}
	return max(longest, last-before)
}

// WriteTable writes a summary as a table.
func (s Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "tier\tclass\tsent\twhole\tattained\tfirst token p50\tp95\tp99\trefused\tlongest gap\t\n")
	for _, c := range s.Classes {
		fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t\n", c.Tier, c.Class, c.Sent, c.Complete,
			100*c.Attainment, round(c.FirstToken.P50), round(c.FirstToken.P95), round(c.FirstToken.P99),
			reasons(c.Refused), round(c.LongestGap))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%s: seed %d, %.1f requests/s for %s: goodput %.0f tokens/s, wasted %.2f%%, of that lost %.2f%%\n",
		s.Name, s.Seed, s.Rate, s.Duration.Std(), s.Goodput, 100*s.WastedFraction, 100*s.LostFraction)
	return err
}

func round(d plan.Duration) time.Duration { return d.Std().Round(time.Millisecond) }

func reasons(refused map[string]int) string {
	var out []string
	for code, n := range refused {
		out = append(out, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
