package quarantine

import (
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// Ending says how the connection ended on which a request was interrupted, weakest evidence of
// the death of the endpoint first.
type Ending int

const (
	// EndedHere means that this instance ended it, after a timeout or a spoiled response.
	EndedHere Ending = iota
	// Reset means that it was reset, which an endpoint without room does too.
	Reset
	// Closed means that the endpoint's side closed it, as the system does for a process that
	// has ended.
	Closed
)

// EndingOf returns the ending that an error of a connection shows.
func EndingOf(err error) Ending {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Closed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	}
	return EndedHere
}

// ShowsDeath reports whether the result of an attempt to connect to an endpoint shows that it
// has died, if a partition is ruled out. An address without a process may also leave attempts
// without an answer, but so does a link that loses packets, unless the endpoint's side had
// closed its connection. An attempt that succeeds or is reset shows nothing: a proxy may accept
// connections in place of the endpoint, and a full endpoint resets them.
func (e Ending) ShowsDeath(connectErr error) bool {
	switch {
	case connectErr == nil, errors.Is(connectErr, syscall.ECONNRESET):
		return false
	case errors.Is(connectErr, syscall.ECONNREFUSED):
		return true
	}
	return e == Closed
}

const (
	// disappearanceWindow is the time after an interruption in which an endpoint that has died
	// leaves the list: its registration outlives it by five seconds at most.
	disappearanceWindow = 6 * time.Second
	// maxInterruptions bounds the unexplained interruptions. The oldest are dropped.
	maxInterruptions = 1024
)

// Interruption is an interruption of requests with the given traits by an endpoint.
type Interruption struct {
	Endpoint catalog.Endpoint
	Traits   []Trait
	At       time.Time
}

// Interruptions holds those whose endpoints could not be shown to be dead. An endpoint that
// soon leaves the list, although it has not announced that, has died. It is not safe for
// concurrent use.
type Interruptions struct{ unexplained []Interruption }

// Add adds an interruption by an endpoint that is listed. One that is not listed any more has
// been told to leave, and ends as it should.
func (u *Interruptions) Add(i Interruption, listed []catalog.Endpoint) {
	if !slices.ContainsFunc(listed, func(e catalog.Endpoint) bool { return e.ID == i.Endpoint.ID && e.Started == i.Endpoint.Started }) {
		return
	}
	if len(u.unexplained) == maxInterruptions {
		u.unexplained = slices.Delete(u.unexplained, 0, 1)
	}
	u.unexplained = append(u.unexplained, i)
}

// Len returns the number of unexplained interruptions.
func (u *Interruptions) Len() int { return len(u.unexplained) }

// Explain returns the interruptions by endpoints that have died, according to the list of
// endpoints at time now, and forgets them and those that stay unexplained. An empty list is
// taken for one that is not known.
func (u *Interruptions) Explain(listed []catalog.Endpoint, now time.Time) (deaths []Interruption) {
	if len(listed) == 0 {
		return nil
	}
	byID := make(map[string]catalog.Endpoint, len(listed))
	for _, e := range listed {
		byID[e.ID] = e
	}
	u.unexplained = slices.DeleteFunc(u.unexplained, func(i Interruption) bool {
		e, isListed := byID[i.Endpoint.ID]
		isRestarted := isListed && (e.Started != i.Endpoint.Started || e.Address != i.Endpoint.Address)
		switch {
		case i.Endpoint.Draining, isListed && e.Draining:
			return true // it has announced its end
		case !isListed, isRestarted:
			deaths = append(deaths, i)
			return true
		}
		return now.Sub(i.At) > disappearanceWindow
	})
	return deaths
}
