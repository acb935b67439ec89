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

// Experiment measures a fleet under a workload. The seed determines the arrivals.
type Experiment struct {
	Profile Profile
	Seed    uint64
	// LoadFactor is the mean rate of arrivals as a multiple of the fleet's capacity.
	LoadFactor float64
	Duration   time.Duration
	Burst      Burst
	// StragglerSlowdown slows the first engine down by this factor. Zero disables it.
	StragglerSlowdown float64
	// CrashAt is the time from the start at which the first engine crashes. Zero
	// disables it.
	CrashAt time.Duration
	// ReportLag is the age of the engines' load reports. Zero keeps the fleet's value.
	ReportLag time.Duration
	// CompareBaselines also replays the arrivals against the baselines.
	CompareBaselines bool
	Fleet            FleetOptions
}

// defaultDrainTimeout limits the wait for responses after the last arrival.
const defaultDrainTimeout = 30 * time.Second

// DefaultFleet returns options for a fleet of three failure domains with one host
// and two engines each.
func DefaultFleet(p Profile) FleetOptions {
	return FleetOptions{
		Profile: p, Domains: 3, HostsPerDomain: 1, EnginesPerDomain: 2,
		Engine: standin.DefaultEngineOptions(""), Bounds: setting.DefaultBounds(),
	}
}

// Capacity returns the requests per second that a fleet can serve. It follows from
// the speed of engines that run full batches and from the profile's mean prompt and
// output lengths.
func Capacity(p Profile, options FleetOptions) float64 {
	promptTokens, outputTokens := 0.0, 0.0
	for _, c := range p.Classes {
		promptTokens += c.Fraction * float64(c.MeanPromptTokens) * (1 - c.SharedPromptFraction)
		outputTokens += c.Fraction * float64(c.MeanOutputTokens)
	}
	engine := options.Engine
	stepSeconds := float64(engine.StepTime) * (1 + engine.StepSlowdown*float64(engine.MaxBatchSize-1)) / float64(time.Second)
	prefillSteps := promptTokens / (engine.PromptTokensPerSecond * engine.StepTime.Seconds()) / float64(engine.MaxBatchSize)
	secondsPerRequest := stepSeconds * (outputTokens/float64(engine.MaxBatchSize) + prefillSteps)
	return float64(options.Domains*options.EnginesPerDomain) / secondsPerRequest
}

// Run runs the experiment and returns one summary per policy.
func (x Experiment) Run(ctx context.Context) ([]Summary, error) {
	policies := []string{"mulberrydyke"}
	if x.CompareBaselines {
		policies = append(policies, string(RoundRobin), string(LeastOutstanding))
	}
	var summaries []Summary
	for _, policy := range policies {
		summary, err := x.runPolicy(ctx, policy)
		if err != nil {
			return nil, err
		}
		summaries = append(summaries, summary)
	}
	return summaries, nil
}

// runPolicy runs the experiment with one policy on a new fleet.
func (x Experiment) runPolicy(ctx context.Context, policy string) (Summary, error) {
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
		fleet.Engines[0].SetFaults(standin.EngineFaults{SlowFactor: x.StragglerSlowdown})
	}
	if x.CrashAt > 0 {
		crashTimer := time.AfterFunc(x.CrashAt, fleet.Engines[0].Crash)
		defer crashTimer.Stop()
	}
	rate := x.LoadFactor * Capacity(x.Profile, options)
	if policy == "mulberrydyke" {
		return fleet.Run(ctx, policy, x.Seed, rate, x.Duration, defaultDrainTimeout, x.Burst)
	}
	baseline, stopBaseline := NewBaseline(BaselinePolicy(policy), fleet.Upstreams)
	defer stopBaseline()
	arrivals := x.Profile.Arrivals(x.Seed, rate, x.Duration, x.Burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("no arrivals at this rate and duration")
	}
	results := Replay(ctx, arrivals, defaultDrainTimeout, func(ctx context.Context, a Arrival) Result {
		return baseline.Send(ctx, x.Profile.Model, a)
	})
	return Summarize(policy, x.Seed, rate, x.Duration, results, fleet.GeneratedTokens()), nil
}

// WriteReport writes summaries as tables or as JSON.
func WriteReport(w io.Writer, summaries []Summary, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summaries)
	}
	for _, s := range summaries {
		if err := s.WriteTable(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// RunAgainst replays a profile's arrivals against hosts that are already running.
// The number of tokens that their engines generate is unknown, so the summary has no
// wasted or lost fraction.
func RunAgainst(ctx context.Context, p Profile, seed uint64, rate float64, duration time.Duration, burst Burst, hosts []string) (Summary, error) {
	client, cleanup := NewClient()
	defer cleanup()
	arrivals := p.Arrivals(seed, rate, duration, burst)
	if len(arrivals) == 0 {
		return Summary{}, eris.New("no arrivals at this rate and duration")
	}
	results := Replay(ctx, arrivals, defaultDrainTimeout, func(ctx context.Context, a Arrival) Result {
		return client.Send(ctx, hosts[a.EntryIndex%len(hosts)], p.Model, a)
	})
	return Summarize("mulberrydyke", seed, rate, duration, results, 0), nil
}

// MiddleThirdBurst returns a burst of a class in the middle third of a run that lasts
// duration.
func MiddleThirdBurst(class plan.ClassID, factor float64, duration time.Duration) Burst {
	return Burst{Class: class, Start: duration / 3, Duration: duration / 3, Factor: factor}
}
