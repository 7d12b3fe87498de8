package endpoint

import "sync"

// Faults are the test switches of an endpoint stand-in.
type Faults struct {
	// CrashOn ends the process when a request body contains the text.
	CrashOn string `json:"crash_on"`
	// SilentAfter and CutAfter stop or break one stream after so many events;
	// for an app after so many bytes of the body. 0 is off, and a negative
	// number acts before the first byte of the answer.
	SilentAfter int `json:"silent_after"`
	CutAfter    int `json:"cut_after"`
	// DelayMS delays the first byte of an answer, in milliseconds. The request
	// counts as executed before the delay.
	DelayMS int `json:"delay_ms"`
	// TokenMS replaces the time between tokens, in milliseconds; 0 is off.
	TokenMS  int  `json:"token_ms"`
	Draining bool `json:"draining"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"duplicate_events"`
	// ReorderEvents swaps neighbouring events, except the terminal marker and
	// except on connections that resume a stream.
	ReorderEvents bool `json:"reorder_events"`
	// IgnoreFencing accepts orders with an old fencing number.
	IgnoreFencing bool `json:"ignore_fencing"`
}

// Interruption is how an answer is broken off.
type Interruption int

// Ways to break off an answer.
const (
	NoInterruption Interruption = iota
	Silence                     // nothing more is sent and the connection stays open
	Cut                         // the connection is closed
)

// FaultInjector hold the current faults. They are safe for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces all switches.
func (s *FaultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current switches.
func (s *FaultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// TakeInterruption reports how an answer breaks off after sent events or bytes, with
// sent 0 before the first byte. A break is taken once.
func (s *FaultInjector) TakeInterruption(sent int) Interruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := func(after int) bool { return after < 0 && sent == 0 || after > 0 && sent >= after }
	switch f := &s.faults; {
	case due(f.SilentAfter):
		f.SilentAfter = 0
		return Silence
	case due(f.CutAfter):
		f.CutAfter = 0
		return Cut
	}
	return NoInterruption
}
