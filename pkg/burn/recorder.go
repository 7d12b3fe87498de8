package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Windows are the lengths of the windows, shortest first. A short and a long one
// that both burn tell a current problem from an old one.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// buckets is the number of buckets per window. A series takes 1,608 bytes,
	// without the refusals by kind.
	buckets = 20
	// MaxSeries bounds the memory to about 4 MB. Samples of further workspaces
	// are counted under Other.
	MaxSeries = 2048
	// maxKinds bounds the kinds per bucket; it is above the number of kinds.
	maxKinds = 32
)

// OverflowWorkspace stands for the workspaces that found no room.
const OverflowWorkspace = "(other)"

// Sample is a finished request.
type Sample struct {
	Service   string
	Workspace string
	// FirstTokenDelay is the time to the first token, WorstGap the longest time
	// between two tokens.
	FirstTokenDelay      time.Duration
	LongestTokenInterval time.Duration
	// Refused is the kind of the error that the caller got before the answer
	// began, or empty.
	Refused failure.Kind
	// CallerFault is true for a refusal through a limit of the workspace, which
	// has the same kind as one through a full queue.
	CallerFault bool
	// Truncated is true when the answer began and did not end as it should.
	Truncated bool
}

// verdict is how a sample counts.
type verdict int

const (
	good verdict = iota
	bad
	excluded
)

// callerFaults are refusals that no change of the service could have avoided.
var callerFaults = []failure.Kind{
	failure.Invalid, failure.Unauthorized, failure.NotFound, failure.Conflict,
	failure.BudgetExhausted, failure.Quarantined, failure.AlreadyAnswered,
}

func judge(s Sample, o config.Objective) verdict {
	switch {
	case s.CallerFault, slices.Contains(callerFaults, s.Refused):
		return excluded
	case s.Refused != "", s.Truncated:
		return bad
	case o.MaxFirstTokenDelay > 0 && s.FirstTokenDelay > o.MaxFirstTokenDelay, o.MaxTokenInterval > 0 && s.LongestTokenInterval > o.MaxTokenInterval:
		return bad
	}
	return good
}

type key struct{ service, workspace string }

// series are the rings of one service and workspace.
type series struct {
	rings   [len(Windows)]ring
	details [buckets]detail // of the longest window
	last    time.Duration   // time of the last sample
}

type ring [buckets]bucket

type bucket struct {
	slot   uint32 // counts from 1; 0 means unused
	counts [3]uint32
}

// detail has what is counted for the longest window only.
type detail struct {
	slot      uint32
	truncated uint32
	refused   []kindCount // allocated with the first refusal
}

type kindCount struct {
	kind  failure.Kind
	count uint32
}

// Recorder counts samples. It is safe for concurrent use.
type Recorder struct {
	start time.Time // slots count from here on the monotonic clock

	mu         sync.Mutex
	objectives map[string]config.Objective
	series     map[key]*series
}

// NewRecorder returns an empty recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), objectives: map[string]config.Objective{}, series: map[key]*series{}}
}

// SetObjectives replaces the objectives. Earlier samples keep their verdict.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	next := make(map[string]config.Objective, len(objectives))
	for _, o := range objectives {
		next[o.Service] = o
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = next
}

// Observe counts a request that ended now. A service without an objective has
// only refusals and truncated answers as bad requests.
func (r *Recorder) Observe(s Sample) { r.observe(time.Now(), s) }

func (r *Recorder) observe(now time.Time, s Sample) {
	at := now.Sub(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	v := judge(s, r.objectives[s.Service])
	e := r.find(at, key{s.Service, s.Workspace})
	e.last = at
	for i, window := range Windows {
		if b := e.rings[i].at(slotOf(at, window)); b != nil {
			b.counts[v]++
		}
	}
	d := e.detailAt(slotOf(at, Windows[len(Windows)-1]))
	if d == nil {
		return
	}
	if s.Truncated {
		d.truncated++
	}
	if s.Refused != "" {
		d.refuse(s.Refused)
	}
}

// find returns the series of k, or the one that stands for it when there is no
// room. The series of Other are as many as there are services.
func (r *Recorder) find(at time.Duration, k key) *series {
	if e := r.series[k]; e != nil {
		return e
	}
	if len(r.series) >= MaxSeries {
		r.dropOld(at)
	}
	if len(r.series) >= MaxSeries {
		k.workspace = OverflowWorkspace
		if e := r.series[k]; e != nil {
			return e
		}
	}
	e := &series{}
	r.series[k] = e
	return e
}

// dropOld removes series without a sample in the longest window.
func (r *Recorder) dropOld(at time.Duration) {
	for k, e := range r.series {
		if at-e.last > Windows[len(Windows)-1] {
			delete(r.series, k)
		}
	}
}

// slotOf returns the number of the bucket at a time since the start.
func slotOf(at, window time.Duration) uint32 {
	return uint32(max(0, at)/(window/buckets)) + 1
}

// current reports whether a slot belongs to the window that ends with slot now.
func current(slot, now uint32) bool { return slot != 0 && slot <= now && now-slot < buckets }

// at returns the bucket of a slot and clears it if it held an older one. It
// returns nil when it holds a newer one.
func (g *ring) at(slot uint32) *bucket {
	b := &g[slot%buckets]
	switch {
	case b.slot > slot:
		return nil
	case b.slot < slot:
		*b = bucket{slot: slot}
	}
	return b
}

func (e *series) detailAt(slot uint32) *detail {
	d := &e.details[slot%buckets]
	switch {
	case d.slot > slot:
		return nil
	case d.slot < slot:
		*d = detail{slot: slot}
	}
	return d
}

func (d *detail) refuse(kind failure.Kind) {
	i := slices.IndexFunc(d.refused, func(c kindCount) bool { return c.kind == kind })
	switch {
	case i >= 0:
		d.refused[i].count++
	case len(d.refused) < maxKinds:
		d.refused = append(d.refused, kindCount{kind, 1})
	}
}
