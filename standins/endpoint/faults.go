package endpoint

import "sync"

// Faults are the faults that an endpoint stand-in injects. The zero value injects
// none.
type Faults struct {
	// CrashOn ends the process when a request body contains the text; "" is off.
	CrashOn string `json:"crash_on"`
	// SilentAfter stalls one response after that many events of a stream, or
	// bytes of the body of an app's response: nothing more is sent and the
	// connection stays open. 0 is off; a negative number stalls before the first
	// event or byte of the body.
	SilentAfter int `json:"silent_after"`
	// CutAfter closes the connection of one response instead, at the same point.
	CutAfter int `json:"cut_after"`
	// DelayMS delays the first byte of a response, in milliseconds. The request
	// counts as executed before the delay.
	DelayMS int `json:"delay_ms"`
	// TokenMS replaces the time between tokens, in milliseconds; 0 is off.
	TokenMS int `json:"token_ms"`
	// Draining makes the endpoint report in each response that it is draining.
	Draining bool `json:"draining"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"duplicate_events"`
	// ReorderEvents swaps neighbouring events, except the terminal marker, and
	// not on connections that resume a stream.
	ReorderEvents bool `json:"reorder_events"`
	// IgnoreFencing accepts orders with a stale fencing token.
	IgnoreFencing bool `json:"ignore_fencing"`
}

// Interruption is the way in which a response is interrupted.
type Interruption int

// Ways to interrupt a response.
const (
	NoInterruption Interruption = iota
	Silence                     // nothing more is sent and the connection stays open
	Cut                         // the connection is closed
)

// FaultInjector holds the current faults. It is safe for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces all faults.
func (s *FaultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *FaultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// TakeInterruption returns the interruption that is due after a number of events
// or bytes was sent, with sent 0 before the first byte, and turns it off, so that
// it applies to one response only.
func (s *FaultInjector) TakeInterruption(sent int) Interruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	isDue := func(after int) bool { return after < 0 && sent == 0 || after > 0 && sent >= after }
	switch f := &s.faults; {
	case isDue(f.SilentAfter):
		f.SilentAfter = 0
		return Silence
	case isDue(f.CutAfter):
		f.CutAfter = 0
		return Cut
	}
	return NoInterruption
}
