package eventlog

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// Dependency logs when a service that the process depends on becomes unavailable and when
// it recovers, once each. It is safe for concurrent use.
type Dependency struct {
	log logrus.FieldLogger

	mu   sync.Mutex
	lost bool
}

// NewDependency returns a Dependency for one use of a service, such as reading
// declarations from the store.
func NewDependency(log logrus.FieldLogger, name, purpose string) *Dependency {
	return &Dependency{log: log.WithField("dependency", name).WithField("of", purpose)}
}

// Record records the result of a call of the dependency; a nil error means success.
func (d *Dependency) Record(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && !d.lost:
		d.log.WithError(err).Warn("dependency lost")
	case err == nil && d.lost:
		d.log.Info("dependency regained")
	}
	d.lost = err != nil
}

// IsLost reports whether the latest recorded call failed.
func (d *Dependency) IsLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}
