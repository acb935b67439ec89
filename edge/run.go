package edge

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mulberrydyke/platform"
)

// Run runs the host that the platform's settings describe until it gets SIGTERM,
// then stops it in a planned way. SIGHUP makes it read its settings again.
func Run() error {
	log, flush := newLogger(os.Stdout)
	defer flush()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file := platform.SettingsFileFromEnv()
	settings, err := file.Load()
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
	await(signals, file, h, log)
	h.Stop()
	return nil
}

// settingsEvery is how often the settings file is looked at, since it may change
// without a signal.
const settingsEvery = 2 * time.Second

// await takes up changed settings until the process is told to stop.
func await(signals <-chan os.Signal, file *platform.SettingsFile, h *Host, log *slog.Logger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			changed, err := file.Changed()
			if err != nil {
				log.Warn("settings file not seen", "cause", err)
			}
			if !changed {
				continue
			}
		}
		settings, err := file.Load()
		if err != nil {
			log.Error("settings left as they were", "cause", err)
			continue
		}
		h.Reload(settings)
	}
}
