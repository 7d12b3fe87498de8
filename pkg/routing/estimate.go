package routing

import "time"

const (
	sampleWeight = 0.1 // weight of the newest sample in the mean
	minSamples   = 8   // with fewer samples no request is refused
)

// serviceTimeEstimate is an exponentially weighted moving average of service
// times.
type serviceTimeEstimate struct {
	mean    float64 // nanoseconds
	samples int
}

func (t *serviceTimeEstimate) add(d time.Duration) {
	if t.samples++; t.samples == 1 {
		t.mean = float64(d)
		return
	}
	t.mean += sampleWeight * (float64(d) - t.mean)
}

// canMeetDeadline reports whether a request that joins the queue is expected to
// start before its deadline. Its own service time is not included, because a short
// lookup takes far less than the mean.
func (s *service) canMeetDeadline(req Request, usable int, now time.Time) bool {
	if req.Deadline.IsZero() || s.serviceTime.samples < minSamples {
		return true
	}
	ahead := 0
	for priority := High; priority <= req.Priority; priority++ {
		ahead += len(s.queue[priority])
	}
	slots := float64(usable * s.maxInFlight)
	if req.Isolate {
		slots = float64(usable)
	}
	wait := time.Duration(s.serviceTime.mean * float64(ahead+1) / slots)
	return now.Add(wait).Before(req.Deadline)
}
