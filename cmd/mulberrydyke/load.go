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

// loadOptions holds the flags of the load command.
type loadOptions struct {
	profile     string
	seed        uint64
	factor      float64
	rate        float64
	duration    time.Duration
	hosts       []string
	compare     bool
	asJSON      bool
	burstClass  string
	burstFactor float64
	slowdown    float64
	crashAt     time.Duration
	reportLag   time.Duration
}

func loadCommand() *cobra.Command {
	var options loadOptions
	c := &cobra.Command{
		Use:   "load",
		Short: "Measures attainment, goodput and refusals under a seeded load.",
		Long: `Sends requests at seeded random times (an open loop: it does not wait for earlier
requests to end) and prints attainment, goodput, wasted work and refusals by
class and tier.

Without --hosts it starts three hosts in three failure domains and simulated
dependencies in one process, and the rate is --factor times their capacity. With
--hosts it sends to running hosts that use the lists of the profile (see
'load lists').`,
		Example: `  mulberrydyke load --profile blue-mahoe --factor 1.3 --compare
  mulberrydyke load --profile skjoldmalerne --factor 1 --straggler 3
  mulberrydyke load --profile blue-mahoe --rate 50 --hosts 127.0.0.1:8080`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c, options) },
	}
	flags := c.Flags()
	flags.StringVar(&options.profile, "profile", "blue-mahoe", "workload: "+strings.Join(profileNames(), " or "))
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the random arrivals")
	flags.Float64Var(&options.factor, "factor", 1, "request rate as a multiple of the capacity")
	flags.Float64Var(&options.rate, "rate", 10, "requests per second, with --hosts")
	flags.DurationVar(&options.duration, "span", 30*time.Second, "how long to send requests")
	flags.StringSliceVar(&options.hosts, "hosts", nil, "addresses of running hosts")
	flags.BoolVar(&options.compare, "compare", false, "also run the same arrivals against the baseline policies")
	flags.BoolVar(&options.asJSON, "json", false, "print JSON")
	flags.StringVar(&options.burstClass, "burst", "", "class whose rate rises in the middle third of the run")
	flags.Float64Var(&options.burstFactor, "burst-by", 5, "factor by which the burst raises the rate")
	flags.Float64Var(&options.slowdown, "straggler", 0, "factor by which one engine is slowed down")
	flags.DurationVar(&options.crashAt, "crash-at", 0, "time after the start at which one engine crashes")
	flags.DurationVar(&options.reportLag, "report-lag", 0, "minimum age of the engines' load reports")
	c.AddCommand(loadListsCommand(), capacityCommand(), streamsCommand())
	return c
}

func profileNames() []string {
	var names []string
	for name := range load.Profiles() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func runLoad(c *cobra.Command, options loadOptions) error {
	profile, ok := load.Profiles()[options.profile]
	if !ok {
		return eris.Errorf("unknown profile %q: want %s", options.profile, strings.Join(profileNames(), " or "))
	}
	var burst load.Burst
	if options.burstClass != "" {
		burst = load.MiddleThirdBurst(plan.ClassID(options.burstClass), options.burstFactor, options.duration)
	}
	if len(options.hosts) > 0 {
		summary, err := load.RunAgainst(c.Context(), profile, options.seed, options.rate, options.duration, burst, options.hosts)
		if err != nil {
			return err
		}
		return load.WriteReport(c.OutOrStdout(), []load.Summary{summary}, options.asJSON)
	}
	fleet := load.DefaultFleet(profile)
	fleet.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	summaries, err := load.Experiment{
		Profile: profile, Seed: options.seed, LoadFactor: options.factor, Duration: options.duration, Burst: burst,
		StragglerSlowdown: options.slowdown, CrashAt: options.crashAt, ReportLag: options.reportLag, CompareBaselines: options.compare, Fleet: fleet,
	}.Run(c.Context())
	if err != nil {
		return err
	}
	return load.WriteReport(c.OutOrStdout(), summaries, options.asJSON)
}

func loadListsCommand() *cobra.Command {
	var profile, dir string
	c := &cobra.Command{
		Use:     "lists",
		Short:   "Writes the plans and entitlements of a profile to files.",
		Example: "  mulberrydyke load lists --profile blue-mahoe --dir lists",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, ok := load.Profiles()[profile]
			if !ok {
				return eris.Errorf("unknown profile %q: want %s", profile, strings.Join(profileNames(), " or "))
			}
			plans, entitlements := p.Lists()
			for name, list := range map[string]any{"plans.json": plans, "entitlements.json": entitlements} {
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
	c.Flags().StringVar(&profile, "profile", "blue-mahoe", "workload profile")
	c.Flags().StringVar(&dir, "dir", ".", "directory for the files")
	return c
}

func streamsCommand() *cobra.Command {
	atOnce := []int{50, 500}
	c := &cobra.Command{
		Use:     "streams",
		Short:   "Compares streams through an entry host with streams directly to the engine.",
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
	c.Flags().IntSliceVar(&atOnce, "at-once", atOnce, "numbers of concurrent streams to measure")
	return c
}
