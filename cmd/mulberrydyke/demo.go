package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"mulberrydyke/load"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

const (
	demoRequestsPerSecond = 25.0
	demoDuration          = 5 * time.Second
	demoDrainTimeout      = 20 * time.Second
	demoSeed              = 1
)

func demoCommand() *cobra.Command {
	var once bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Runs hosts and simulated dependencies in one process and sends requests of several tiers.",
		Long: `Runs three hosts in three failure domains, a simulated platform, simulated
engines and a simulated plain service in one process on loopback. Sends requests
of several tiers, streams the responses and prints a table by class. Then keeps
running so that you can send requests yourself, or exits with --once.`,
		Example: "  mulberrydyke demo --once",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return demo(c, once) },
	}
	c.Flags().BoolVar(&once, "once", false, "exit after printing the table")
	return c
}

func demo(c *cobra.Command, once bool) error {
	profile := load.Profiles()["blue-mahoe"]
	fleet, cleanup, err := load.NewFleet(load.FleetOptions{
		Profile: profile, Domains: 3, HostsPerDomain: 1, EnginesPerDomain: 1,
		Engine: standin.DefaultEngineOptions(""), Bounds: setting.DefaultBounds(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		return err
	}
	defer cleanup()
	summary, err := fleet.Run(c.Context(), "demo", demoSeed, demoRequestsPerSecond, demoDuration, demoDrainTimeout, load.Burst{})
	if err != nil {
		return err
	}
	if err := summary.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	for _, class := range summary.Classes {
		if class.Complete == 0 || class.Corrupt > 0 {
			return eris.Errorf("class %s: %d complete responses, %d with unexpected content", class.Class, class.Complete, class.Corrupt)
		}
	}
	if once {
		return nil
	}
	printExampleRequest(c.OutOrStdout(), fleet, profile)
	return waitForSignal(c.Context())
}

// printExampleRequest prints a curl command that sends a request to the first
// host.
func printExampleRequest(w io.Writer, fleet *load.Fleet, profile load.Profile) {
	arrival := profile.Arrivals(demoSeed, 1, time.Minute, load.Burst{})[0]
	fmt.Fprintf(w, "\nTry it (operators' listener: http://%s/v1/status):\n\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Class: %s' -d '{\"model\":%q,\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		fleet.Hosts[0].OperatorAddress(), fleet.Hosts[0].CallerAddress(), load.AccountKey(arrival.Account), arrival.Class.ID, profile.Model)
}

func waitForSignal(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
