package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/plan"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

// Experiment is one measurement, repeatable by its seed.
type Experiment struct {
	Profile Profile
	Seed    uint64
	// Factor is the mean rate of arrivals as a multiple of the capacity.
	LoadFactor float64
	Duration   time.Duration
	Burst      Burst
	// Straggler slows the first engine down by this factor. Zero means not.
	StragglerSlowdown float64
	// CrashAt crashes the first engine at this time. Zero means never.
	CrashAt time.Duration
	// ReportLag is how old the engines' load reports are.
	ReportLag time.Duration
	// Compare also plays the arrivals against the baselines.
	CompareBaselines bool
	Fleet            FleetOptions
}

// restTime is how long an experiment waits for answers after the last arrival.
const restTime = 30 * time.Second

// DefaultFleet returns a fleet of three failure domains.
func DefaultFleet(p Profile) FleetOptions {
	return FleetOptions{
		Profile: p, Domains: 3, HostsPerDomain: 1, EnginesPerDomain: 2,
		Engine: standin.DefaultEngineOptions(""), Bounds: setting.DefaultBounds(),
	}
}

// Capacity returns the requests per second that a fleet can answer, from the
// speed of full engines and the mean lengths of the profile.
func Capacity(p Profile, o FleetOptions) float64 {
	prompt, output := 0.0, 0.0
	for _, c := range p.Classes {
		prompt += c.Fraction * float64(c.MeanPromptTokens) * (1 - c.SharedPromptFraction)
		output += c.Fraction * float64(c.MeanOutputTokens)
	}
	e := o.Engine
	full := float64(e.Step) * (1 + e.Slope*float64(e.Batch-1)) / float64(time.Second)
	reading := prompt / (e.PromptRate * e.Step.Seconds()) / float64(e.Batch)
	perRequest := full * (output/float64(e.Batch) + reading)
	return float64(o.Domains*o.EnginesPerDomain) / perRequest
}

// Run runs the experiment and returns a summary for each policy.
func (x Experiment) Run(ctx context.Context) ([]Summary, error) {
	policies := []string{"mulberrydyke"}
	if x.CompareBaselines {
		policies = append(policies, string(RoundRobin), string(LeastOutstanding))
	}
	var out []Summary
	for _, policy := range policies {
		s, err := x.runOne(ctx, policy)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (x Experiment) runOne(ctx context.Context, policy string) (Summary, error) {
	options := x.Fleet
	if x.ReportLag > 0 {
		options.Engine.ReportLag = x.ReportLag
	}
	fleet, cleanup, err := NewFleet(options)
	if err != nil {
		return Summary{}, err
	}
	defer cleanup()
	if x.StragglerSlowdown > 0 {
		fleet.Engines[0].SetFaults(standin.EngineFaults{Slow: x.StragglerSlowdown})
	}
	if x.CrashAt > 0 {
		crash := time.AfterFunc(x.CrashAt, fleet.Engines[0].Crash)
		defer crash.Stop()
	}
	rate := x.LoadFactor * Capacity(x.Profile, options)
	if policy == "mulberrydyke" {
		return fleet.Run(ctx, policy, x.Seed, rate, x.Duration, restTime, x.Burst)
	}
	baseline, stop := NewBaseline(BaselinePolicy(policy), fleet.Upstreams)
	defer stop()
	arrivals := x.Profile.Arrivals(x.Seed, rate, x.Duration, x.Burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("the rate and the time give no arrivals")
	}
	results := Replay(ctx, arrivals, restTime, func(ctx context.Context, a Arrival) Result {
		return baseline.Send(ctx, x.Profile.Model, a)
	})
	return Summarize(policy, x.Seed, rate, x.Duration, results, fleet.GeneratedTokens()), nil
}

// WriteReport writes summaries as tables, or as JSON.
func WriteReport(w io.Writer, summaries []Summary, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(summaries)
	}
	for _, s := range summaries {
		if err := s.WriteTable(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// RunAgainst plays a profile's arrivals against hosts that already run. What the
// engines generated is not known then.
func RunAgainst(ctx context.Context, p Profile, seed uint64, rate float64, span time.Duration, burst Burst, hosts []string) (Summary, error) {
	client, cleanup := NewClient()
	defer cleanup()
	arrivals := p.Arrivals(seed, rate, span, burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("the rate and the time give no arrivals")
	}
	results := Replay(ctx, arrivals, restTime, func(ctx context.Context, a Arrival) Result {
		return client.Send(ctx, hosts[a.EntryIndex%len(hosts)], p.Model, a)
	})
	return Summarize("mulberrydyke", seed, rate, span, results, 0), nil
}

// MiddleThirdBurst returns a burst of a class in the middle third of a span.
func MiddleThirdBurst(class plan.ClassID, factor float64, span time.Duration) Burst {
	return Burst{Class: class, Start: span / 3, Duration: span / 3, Factor: factor}
}
