package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

func standInCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stand-in",
		Short: "Runs a simulated platform, engine or plain service.",
	}
	c.AddCommand(standInPlatformCommand(), standInEngineCommand(), standInServiceCommand())
	return c
}

// printAddressAndWait prints the address and waits for SIGTERM or SIGINT.
func printAddressAndWait(c *cobra.Command, address string) {
	fmt.Fprintln(c.OutOrStdout(), "listening on", address)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func standInPlatformCommand() *cobra.Command {
	var listen string
	files := map[plan.ListKind]*string{}
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Simulates the configuration service that publishes lists.",
		Example: "  mulberrydyke stand-in platform --listen 127.0.0.1:8500 --plans plans.json --entitlements entitlements.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			platform := standin.NewPlatform()
			for kind, file := range files {
				if *file == "" {
					continue
				}
				raw, err := os.ReadFile(*file)
				if err != nil {
					return err
				}
				platform.Publish(kind, raw)
			}
			address, cleanup, err := platform.Serve(listen)
			if err != nil {
				return err
			}
			defer cleanup()
			printAddressAndWait(c, address)
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	for _, kind := range plan.ListKinds() {
		files[kind] = c.Flags().String(string(kind), "", "file to publish as the list of "+string(kind))
	}
	return c
}

func standInEngineCommand() *cobra.Command {
	var listen string
	options := standin.DefaultEngineOptions("engine")
	c := &cobra.Command{
		Use:     "engine",
		Short:   "Simulates an inference engine with continuous batching.",
		Example: "  mulberrydyke stand-in engine --listen 127.0.0.1:9001 --name engine-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			engine, cleanup := standin.NewEngine(options)
			defer cleanup()
			address, stop, err := engine.Serve(listen)
			if err != nil {
				return err
			}
			defer stop()
			printAddressAndWait(c, address)
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&options.Name, "name", options.Name, "name of the engine in its ledger (GET /ledger)")
	flags.IntVar(&options.MaxBatchSize, "batch", options.MaxBatchSize, "maximum number of concurrent requests")
	flags.DurationVar(&options.StepTime, "step", options.StepTime, "time to generate one token while a single request runs")
	flags.Float64Var(&options.PromptTokensPerSecond, "prompt-rate", options.PromptTokensPerSecond, "prompt tokens processed per second")
	flags.DurationVar(&options.ReportLag, "report-lag", options.ReportLag, "minimum age of load reports")
	return c
}

func standInServiceCommand() *cobra.Command {
	var listen, name string
	var delay time.Duration
	c := &cobra.Command{
		Use:     "service",
		Short:   "Simulates a plain HTTP service.",
		Example: "  mulberrydyke stand-in service --listen 127.0.0.1:9101 --name press-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			service := standin.NewService(name)
			service.SetFaults(standin.ServiceFaults{Delay: plan.Duration(delay)})
			address, cleanup, err := service.Serve(listen)
			if err != nil {
				return err
			}
			defer cleanup()
			printAddressAndWait(c, address)
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&name, "name", "service", "name of the service in its ledger (GET /ledger)")
	flags.DurationVar(&delay, "delay", 0, "duration of each call")
	return c
}
