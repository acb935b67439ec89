package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mulberrydyke/host"
	"mulberrydyke/setting"
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "serve SETTINGS",
		Short:   "Runs an entry host until SIGTERM or SIGINT, then shuts it down gracefully.",
		Example: "  mulberrydyke serve host-1.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := setting.Load(args[0])
			if err != nil {
				return err
			}
			return serve(c.Context(), settings)
		},
	}
}

func serve(ctx context.Context, settings setting.Host) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("host", string(settings.ID))
	slog.SetDefault(log)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	h, cleanup, err := host.Start(settings, log)
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info("serving", "callers", h.CallerAddress(), "operators", h.OperatorAddress(), "peers", h.PeerAddress())
	<-stop
	ctx, cancel := context.WithTimeout(ctx, settings.Bounds.DrainTimeout.Std())
	defer cancel()
	return h.Stop(ctx)
}
