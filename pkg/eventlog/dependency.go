package eventlog

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// Dependency logs the loss and the return of something that the process depends on,
// once each. It is safe for concurrent use.
type Dependency struct {
	log logrus.FieldLogger

	mu   sync.Mutex
	lost bool
}

// NewDependency returns the log of a dependency, as far as it is used for one purpose.
func NewDependency(log logrus.FieldLogger, name, purpose string) *Dependency {
	return &Dependency{log: log.WithField("dependency", name).WithField("of", purpose)}
}

// Record records the result of the latest use.
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

// IsLost reports whether the latest use failed.
func (d *Dependency) IsLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}
