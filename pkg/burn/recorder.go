package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Windows are the lengths of the windows, shortest first. A high burn rate in both a
// short and a long window means a current problem; in the long one alone, a past one.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// bucketsPerWindow is the number of buckets of a window. At 20, a seriesCounters takes
	// 1,608 bytes, without the refusals by kind.
	bucketsPerWindow = 20
	// MaxSeries is the maximum number of series, apart from those of
	// OverflowWorkspace. It bounds the memory of a Recorder to about 4 MB.
	MaxSeries = 2048
	// maxRefusalKinds bounds the refusal kinds per bucket. It exceeds the number of
	// kinds that exist.
	maxRefusalKinds = 32
)

// OverflowWorkspace is the workspace name under which samples are counted that would
// need a series beyond MaxSeries.
const OverflowWorkspace = "(other)"

// Sample describes a finished request.
type Sample struct {
	Service   string
	Workspace string
	// FirstTokenDelay is the time to the first token, LongestTokenInterval the longest
	// time between two consecutive tokens.
	FirstTokenDelay      time.Duration
	LongestTokenInterval time.Duration
	// Refused is the kind of the error that the caller got instead of a response, or
	// empty.
	Refused failure.Kind
	// CallerFault is true if a limit of the workspace caused the refusal. Refused alone
	// does not show it, because a full queue has the same kind.
	CallerFault bool
	// Truncated is true if the response started but did not complete.
	Truncated bool
}

// sampleClass says how a sample counts towards an objective.
type sampleClass int

const (
	good sampleClass = iota
	bad
	excluded
)

// callerFaults are the kinds of refusals that the caller causes, which no change of the
// service could avoid.
var callerFaults = []failure.Kind{
	failure.Invalid, failure.Unauthorized, failure.NotFound, failure.Conflict,
	failure.BudgetExhausted, failure.Quarantined, failure.AlreadyAnswered,
}

// classify returns the class of s under o. An objective without limits, such as the zero
// value, does not make slow requests bad.
func classify(s Sample, o config.Objective) sampleClass {
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

// seriesKey identifies a series.
type seriesKey struct{ service, workspace string }

// seriesCounters holds the counts of one service and workspace.
type seriesCounters struct {
	rings        [len(Windows)]ring
	detailRing   [bucketsPerWindow]detailBucket // over the longest window
	lastSampleAt time.Duration                  // since Recorder.startedAt
}

// ring holds the buckets of one window. The bucket with number n is at index n modulo
// bucketsPerWindow.
type ring [bucketsPerWindow]bucket

// bucket holds the counts of one step of a window.
type bucket struct {
	number uint32    // see bucketNumber; 0 means unused
	counts [3]uint32 // by sampleClass
}

// detailBucket holds the counts that are kept only for the longest window.
type detailBucket struct {
	number    uint32
	truncated uint32
	refused   []refusalCount // allocated at the first refusal
}

// refusalCount is the number of refusals of one kind.
type refusalCount struct {
	kind  failure.Kind
	count uint32
}

// Recorder counts samples per service and workspace. It is safe for concurrent use.
type Recorder struct {
	startedAt time.Time // buckets are numbered from here, by the monotonic clock

	mu         sync.Mutex
	objectives map[string]config.Objective
	series     map[seriesKey]*seriesCounters
}

// NewRecorder returns an empty recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{startedAt: time.Now(), objectives: map[string]config.Objective{}, series: map[seriesKey]*seriesCounters{}}
}

// SetObjectives replaces the objectives. Earlier samples are not classified again.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	next := make(map[string]config.Objective, len(objectives))
	for _, o := range objectives {
		next[o.Service] = o
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = next
}

// Observe counts a request that ended now. For a service without an objective only
// refusals and truncated responses are bad.
func (r *Recorder) Observe(s Sample) { r.observeAt(time.Now(), s) }

// observeAt counts a request that ended at now.
func (r *Recorder) observeAt(now time.Time, s Sample) {
	elapsed := now.Sub(r.startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	class := classify(s, r.objectives[s.Service])
	sc := r.findOrCreateSeries(elapsed, seriesKey{s.Service, s.Workspace})
	sc.lastSampleAt = elapsed
	for i, window := range Windows {
		if b := sc.rings[i].bucketFor(bucketNumber(elapsed, window)); b != nil {
			b.counts[class]++
		}
	}
	d := sc.detailBucketFor(bucketNumber(elapsed, Windows[len(Windows)-1]))
	if d == nil {
		return
	}
	if s.Truncated {
		d.truncated++
	}
	if s.Refused != "" {
		d.countRefusal(s.Refused)
	}
}

// findOrCreateSeries returns the series of key. When MaxSeries is reached and no expired
// series can be dropped, a new key gets the series of OverflowWorkspace, of which there is
// one per service.
func (r *Recorder) findOrCreateSeries(elapsed time.Duration, key seriesKey) *seriesCounters {
	if sc := r.series[key]; sc != nil {
		return sc
	}
	if len(r.series) >= MaxSeries {
		r.dropExpiredSeries(elapsed)
	}
	if len(r.series) >= MaxSeries {
		key.workspace = OverflowWorkspace
		if sc := r.series[key]; sc != nil {
			return sc
		}
	}
	sc := &seriesCounters{}
	r.series[key] = sc
	return sc
}

// dropExpiredSeries removes the series without a sample in the longest window.
func (r *Recorder) dropExpiredSeries(elapsed time.Duration) {
	for k, sc := range r.series {
		if elapsed-sc.lastSampleAt > Windows[len(Windows)-1] {
			delete(r.series, k)
		}
	}
}

// bucketNumber returns the number, counted from 1, of the bucket for a time since
// startedAt.
func bucketNumber(elapsed, window time.Duration) uint32 {
	return uint32(max(0, elapsed)/(window/bucketsPerWindow)) + 1
}

// isInWindow reports whether a bucket belongs to the window that ends with the bucket
// numbered newest.
func isInWindow(number, newest uint32) bool {
	return number != 0 && number <= newest && newest-number < bucketsPerWindow
}

// bucketFor returns the bucket with the given number, cleared if its place held an older
// one, or nil if its place already holds a newer one.
func (r *ring) bucketFor(number uint32) *bucket {
	b := &r[number%bucketsPerWindow]
	switch {
	case b.number > number:
		return nil
	case b.number < number:
		*b = bucket{number: number}
	}
	return b
}

// detailBucketFor is ring.bucketFor for detail buckets.
func (sc *seriesCounters) detailBucketFor(number uint32) *detailBucket {
	d := &sc.detailRing[number%bucketsPerWindow]
	switch {
	case d.number > number:
		return nil
	case d.number < number:
		*d = detailBucket{number: number}
	}
	return d
}

// countRefusal counts a refusal of the given kind.
func (d *detailBucket) countRefusal(kind failure.Kind) {
	i := slices.IndexFunc(d.refused, func(c refusalCount) bool { return c.kind == kind })
	switch {
	case i >= 0:
		d.refused[i].count++
	case len(d.refused) < maxRefusalKinds:
		d.refused = append(d.refused, refusalCount{kind, 1})
	}
}
