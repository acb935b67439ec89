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
		Short: "Runs a stand-in of the platform, of an engine or of a plain service.",
	}
	c.AddCommand(standInPlatform(), standInEngine(), standInService())
	return c
}

// awaitSignal prints the address and waits until the process is told to stop.
func awaitSignal(c *cobra.Command, address string) {
	fmt.Fprintln(c.OutOrStdout(), "listening on", address)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func standInPlatform() *cobra.Command {
	var listen string
	files := map[plan.Kind]*string{}
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Publishes lists as the configuration service does.",
		Example: "  mulberrydyke stand-in platform --listen 127.0.0.1:8500 --plans plans.json --entitlements entitlements.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := standin.NewPlatform()
			for kind, file := range files {
				if *file == "" {
					continue
				}
				raw, err := os.ReadFile(*file)
				if err != nil {
					return err
				}
				p.Publish(kind, raw)
			}
			address, cleanup, err := p.Serve(listen)
			if err != nil {
				return err
			}
			defer cleanup()
			awaitSignal(c, address)
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	for _, kind := range plan.Kinds() {
		files[kind] = c.Flags().String(string(kind), "", "file to publish as the list of "+string(kind))
	}
	return c
}

func standInEngine() *cobra.Command {
	var listen string
	o := standin.DefaultEngineOptions("engine")
	c := &cobra.Command{
		Use:     "engine",
		Short:   "Generates tokens as a model engine with continuous batching does.",
		Example: "  mulberrydyke stand-in engine --listen 127.0.0.1:9001 --name engine-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, cleanup := standin.NewEngine(o)
			defer cleanup()
			address, stop, err := e.Serve(listen)
			if err != nil {
				return err
			}
			defer stop()
			awaitSignal(c, address)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&o.Name, "name", o.Name, "name in the ledger")
	f.IntVar(&o.MaxBatchSize, "batch", o.MaxBatchSize, "most requests at once")
	f.DurationVar(&o.StepTime, "step", o.StepTime, "time of one token while a single request runs")
	f.Float64Var(&o.PromptTokensPerSecond, "prompt-rate", o.PromptTokensPerSecond, "prompt tokens read in a second")
	f.DurationVar(&o.ReportLag, "report-lag", o.ReportLag, "age of load reports")
	return c
}

func standInService() *cobra.Command {
	var listen, name string
	var delay time.Duration
	c := &cobra.Command{
		Use:     "service",
		Short:   "Answers calls as a plain service does.",
		Example: "  mulberrydyke stand-in service --listen 127.0.0.1:9101 --name press-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := standin.NewService(name)
			s.SetFaults(standin.ServiceFaults{Delay: plan.Duration(delay)})
			address, cleanup, err := s.Serve(listen)
			if err != nil {
				return err
			}
			defer cleanup()
			awaitSignal(c, address)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&name, "name", "service", "name in the ledger")
	f.DurationVar(&delay, "delay", 0, "time that each call takes")
	return c
}
