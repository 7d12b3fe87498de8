// Package signals handles the signals of a daemon.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// Daemon is the set of handlers of a daemon. They stay in place until the process ends: a
// signal without a handler ends the process at once, also in its graceful stop.
type Daemon struct {
	stop context.Context
	hup  chan os.Signal
}

// Handle installs the handlers. It must be called once, at the start of the program.
func Handle() *Daemon {
	// The cancel function would remove the handlers, so it is not called.
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	d := &Daemon{stop: stop, hup: make(chan os.Signal, 1)}
	signal.Notify(d.hup, syscall.SIGHUP)
	return d
}

// StopContext returns a context that ends at the first SIGTERM or SIGINT.
func (d *Daemon) StopContext() context.Context { return d.stop }

// CheckSettingsOnHangup calls check at each SIGHUP and logs the result. New settings apply
// from the next start, so an invalid file is reported while the process still runs. It
// does not return.
func (d *Daemon) CheckSettingsOnHangup(check func() error, log logrus.FieldLogger) {
	for range d.hup {
		if err := check(); err != nil {
			log.WithError(err).Error("settings are invalid")
			continue
		}
		log.Info("settings are valid; they apply from the next start")
	}
}
