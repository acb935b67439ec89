package edge

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mulberrydyke/platform"
)

// Run starts the host that the platform's settings describe and shuts it down
// gracefully on SIGTERM or SIGINT. On SIGHUP, and when the settings file has
// changed, it reloads the settings.
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
	reloadUntilStopped(signals, file, h, log)
	h.Stop()
	return nil
}

// settingsPollInterval is how often the settings file is checked, since it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadUntilStopped applies changed settings until the process receives SIGTERM or
// SIGINT.
func reloadUntilStopped(signals <-chan os.Signal, file *platform.SettingsFile, h *Host, log *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
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
				log.Warn("cannot check settings file for changes", "cause", err)
			}
			if !changed {
				continue
			}
		}
		settings, err := file.Load()
		if err != nil {
			log.Error("cannot load settings, keeping the previous ones", "cause", err)
			continue
		}
		h.Reload(settings)
	}
}
