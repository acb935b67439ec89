package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"mulberrydyke/load"
	"mulberrydyke/plan"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	profile   string
	seed      uint64
	factor    float64
	rate      float64
	span      time.Duration
	hosts     []string
	compare   bool
	asJSON    bool
	burst     string
	burstBy   float64
	straggler float64
	crashAt   time.Duration
	reportLag time.Duration
}

func loadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Measures what callers get under a seeded load.",
		Long: `Sends seeded arrivals, whether or not earlier requests have ended, and prints
attainment, goodput, wasted work and refusals by class and tier.

Without --hosts it starts three hosts in three failure domains and stand-ins in
one process, and the rate is --factor times their capacity. With --hosts it
sends to hosts that already run under the lists of the profile ('load lists').`,
		Example: `  mulberrydyke load --profile blue-mahoe --factor 1.3 --compare
  mulberrydyke load --profile skjoldmalerne --factor 1 --straggler 3
  mulberrydyke load --profile blue-mahoe --rate 50 --hosts 127.0.0.1:8080`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c, f) },
	}
	s := c.Flags()
	s.StringVar(&f.profile, "profile", "blue-mahoe", "workload: "+strings.Join(profileNames(), " or "))
	s.Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	s.Float64Var(&f.factor, "factor", 1, "rate as a multiple of the capacity")
	s.Float64Var(&f.rate, "rate", 10, "requests per second, with --hosts")
	s.DurationVar(&f.span, "span", 30*time.Second, "time of arrivals")
	s.StringSliceVar(&f.hosts, "hosts", nil, "addresses of hosts that already run")
	s.BoolVar(&f.compare, "compare", false, "play the same arrivals against the baselines")
	s.BoolVar(&f.asJSON, "json", false, "print JSON")
	s.StringVar(&f.burst, "burst", "", "class that bursts in the middle third")
	s.Float64Var(&f.burstBy, "burst-by", 5, "factor of the burst")
	s.Float64Var(&f.straggler, "straggler", 0, "slow one engine down by this factor")
	s.DurationVar(&f.crashAt, "crash-at", 0, "crash one engine at this time")
	s.DurationVar(&f.reportLag, "report-lag", 0, "age of the engines' load reports")
	c.AddCommand(loadListsCommand(), capacityCommand(), streamsCommand())
	return c
}

func profileNames() []string {
	var out []string
	for name := range load.Profiles() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func runLoad(c *cobra.Command, f loadFlags) error {
	profile, ok := load.Profiles()[f.profile]
	if !ok {
		return eris.Errorf("no profile %q: want %s", f.profile, strings.Join(profileNames(), " or "))
	}
	var burst load.Burst
	if f.burst != "" {
		burst = load.MiddleThirdBurst(plan.ClassID(f.burst), f.burstBy, f.span)
	}
	if len(f.hosts) > 0 {
		s, err := load.RunAgainst(c.Context(), profile, f.seed, f.rate, f.span, burst, f.hosts)
		if err != nil {
			return err
		}
		return load.WriteReport(c.OutOrStdout(), []load.Summary{s}, f.asJSON)
	}
	fleet := load.DefaultFleet(profile)
	fleet.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	summaries, err := load.Experiment{
		Profile: profile, Seed: f.seed, LoadFactor: f.factor, Duration: f.span, Burst: burst,
		StragglerSlowdown: f.straggler, CrashAt: f.crashAt, ReportLag: f.reportLag, CompareBaselines: f.compare, Fleet: fleet,
	}.Run(c.Context())
	if err != nil {
		return err
	}
	return load.WriteReport(c.OutOrStdout(), summaries, f.asJSON)
}

func loadListsCommand() *cobra.Command {
	var profile, dir string
	c := &cobra.Command{
		Use:     "lists",
		Short:   "Writes the plans and entitlements of a profile as files.",
		Example: "  mulberrydyke load lists --profile blue-mahoe --dir lists",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, ok := load.Profiles()[profile]
			if !ok {
				return eris.Errorf("no profile %q: want %s", profile, strings.Join(profileNames(), " or "))
			}
			plans, entitled := p.Lists()
			for name, list := range map[string]any{"plans.json": plans, "entitlements.json": entitled} {
				raw, err := json.MarshalIndent(list, "", "  ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&profile, "profile", "blue-mahoe", "workload")
	c.Flags().StringVar(&dir, "dir", ".", "folder for the files")
	return c
}

func streamsCommand() *cobra.Command {
	atOnce := []int{50, 500}
	c := &cobra.Command{
		Use:     "streams",
		Short:   "Compares streams through one entry host with streams direct to the engine.",
		Example: "  mulberrydyke load streams --at-once 50,500",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			options := load.DefaultFleet(load.Profiles()["blue-mahoe"])
			options.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
			var results []load.StreamComparison
			for _, n := range atOnce {
				r, err := load.CompareStreams(c.Context(), options, n)
				if err != nil {
					return err
				}
				results = append(results, r)
			}
			return load.WriteStreamTable(c.OutOrStdout(), results)
		},
	}
	c.Flags().IntSliceVar(&atOnce, "at-once", atOnce, "numbers of streams to open at once")
	return c
}
