package routing

import "time"

const (
	serviceTimeWeight = 0.1 // of the newest sample
	minSamples        = 8   // fewer do not justify a refusal
)

// serviceTime is an exponentially weighted mean of recent service times.
type serviceTime struct {
	mean    float64 // nanoseconds
	samples int
}

func (t *serviceTime) add(d time.Duration) {
	if t.samples++; t.samples == 1 {
		t.mean = float64(d)
		return
	}
	t.mean += serviceTimeWeight * (float64(d) - t.mean)
}

// canMeet reports whether a request that joins the queue is expected to start
// before its deadline. The request's own service time is left out, because a
// short lookup takes far less than the mean.
func (s *service) canMeet(req Request, usable int, now time.Time) bool {
	if req.Deadline.IsZero() || s.times.samples < minSamples {
		return true
	}
	ahead := 0
	for c := High; c <= req.Priority; c++ {
		ahead += len(s.queue[c])
	}
	slots := float64(usable * s.limit)
	if req.Isolate {
		slots = float64(usable)
	}
	wait := time.Duration(s.times.mean * float64(ahead+1) / slots)
	return now.Add(wait).Before(req.Deadline)
}
