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
	Factor float64
	Span   time.Duration
	Burst  Burst
	// Straggler slows the first engine down by this factor. Zero means not.
	Straggler float64
	// CrashAt crashes the first engine at this time. Zero means never.
	CrashAt time.Duration
	// ReportLag is how old the engines' load reports are.
	ReportLag time.Duration
	// Compare also plays the arrivals against the baselines.
	Compare bool
	Fleet   FleetOptions
}

// restTime is how long an experiment waits for answers after the last arrival.
const restTime = 30 * time.Second

// DefaultFleet returns a fleet of three failure domains.
func DefaultFleet(p Profile) FleetOptions {
	return FleetOptions{
		Profile: p, Domains: 3, Hosts: 1, Engines: 2,
		Engine: standin.DefaultEngineOptions(""), Bounds: setting.DefaultBounds(),
	}
}

// Capacity returns the requests per second that a fleet can answer, from the
// speed of full engines and the mean lengths of the profile.
func Capacity(p Profile, o FleetOptions) float64 {
	prompt, output := 0.0, 0.0
	for _, c := range p.Classes {
		prompt += c.Part * float64(c.Prompt) * (1 - c.Shared)
		output += c.Part * float64(c.Output)
	}
	e := o.Engine
	full := float64(e.StepTime) * (1 + e.StepSlowdown*float64(e.MaxBatchSize-1)) / float64(time.Second)
	reading := prompt / (e.PromptTokensPerSecond * e.StepTime.Seconds()) / float64(e.MaxBatchSize)
	perRequest := full * (output/float64(e.MaxBatchSize) + reading)
	return float64(o.Domains*o.Engines) / perRequest
}

// Run runs the experiment and returns a summary for each policy.
func (x Experiment) Run(ctx context.Context) ([]Summary, error) {
	policies := []string{"mulberrydyke"}
	if x.Compare {
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
	if x.Straggler > 0 {
		fleet.Engines[0].SetFaults(standin.EngineFaults{SlowFactor: x.Straggler})
	}
	if x.CrashAt > 0 {
		crash := time.AfterFunc(x.CrashAt, fleet.Engines[0].Crash)
		defer crash.Stop()
	}
	rate := x.Factor * Capacity(x.Profile, options)
	if policy == "mulberrydyke" {
		return fleet.Drive(ctx, policy, x.Seed, rate, x.Span, restTime, x.Burst)
	}
	baseline, stop := NewBaseline(BaselineKind(policy), fleet.Upstreams)
	defer stop()
	arrivals := x.Profile.Arrivals(x.Seed, rate, x.Span, x.Burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("the rate and the time give no arrivals")
	}
	results := Play(ctx, arrivals, restTime, func(ctx context.Context, a Arrival) Result {
		return baseline.Send(ctx, x.Profile.Model, a)
	})
	return Summarize(policy, x.Seed, rate, x.Span, results, fleet.Generated()), nil
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

// Against plays a profile's arrivals against hosts that already run. What the
// engines generated is not known then.
func Against(ctx context.Context, p Profile, seed uint64, rate float64, span time.Duration, burst Burst, hosts []string) (Summary, error) {
	client, cleanup := NewClient()
	defer cleanup()
	arrivals := p.Arrivals(seed, rate, span, burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("the rate and the time give no arrivals")
	}
	results := Play(ctx, arrivals, restTime, func(ctx context.Context, a Arrival) Result {
		return client.Send(ctx, hosts[a.Entry%len(hosts)], p.Model, a)
	})
	return Summarize("mulberrydyke", seed, rate, span, results, 0), nil
}

// BurstOf returns a burst of a class in the middle third of a span.
func BurstOf(class plan.ClassID, factor float64, span time.Duration) Burst {
	return Burst{Class: class, From: span / 3, Span: span / 3, Factor: factor}
}
