package edge

import (
	"os"
	"os/signal"
	"syscall"

	"mulberrydyke/platform"
)

// Run runs the host that the platform's settings describe until it gets SIGTERM,
// then stops it in a planned way. SIGHUP makes it read its settings again.
func Run() error {
	log, flush := newLogger(os.Stdout)
	defer flush()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Error("start failed", "cause", err)
		return err
	}
	log = log.With("host", string(settings.ID))
	h, cleanup, err := Start(settings, log)
	if err != nil {
		log.Error("start failed", "cause", err)
		return err
	}
	defer cleanup()
	log.Info("started", "domain", string(settings.Domain), "callers", settings.Callers.String(), "seeds", len(settings.Seeds))
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			log.Error("settings left as they were", "cause", err)
			continue
		}
		h.Reload(settings)
	}
	h.Stop()
	return nil
}
