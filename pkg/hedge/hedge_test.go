package hedge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	objective = 120 * ms
)

var (
	target = Target{"look", "s"}
	start  = time.Unix(1000, 0)
)

// play returns the sorted times of n requests, one every 10 ms, and how many second attempts they got.
func play(d *Decider, n int, answer func() time.Duration) (times []time.Duration, second int) {
	now := start
	for range n {
		now = now.Add(10 * ms)
		d.RecordRequest(target.Service)
		took := answer()
		delay, denial := d.Delay(target, objective, now)
		if denial == None && took > delay && d.Check(target.Service, now.Add(delay)) == None {
			d.Take(target.Service)
			second++
			took = min(took, delay+answer())
		}
		d.RecordAnswer(target, took, now)
		times = append(times, took)
	}
	slices.Sort(times)
	return times, second
}

// slowTail returns times around 20 ms of which 2 in 100 take 400 ms.
func slowTail(r *rand.Rand) func() time.Duration {
	return func() time.Duration {
		if r.Float64() < 0.02 {
			return 400 * ms
		}
		return 15*ms + time.Duration(r.Float64()*float64(10*ms))
	}
}

// Guards against second attempts that do not cut the slowest answers, or exceed the operator's share.
func TestSlowestAnswersAreCutWithinTheShare(t *testing.T) {
	const n, share = 5000, 0.1
	for seed := range uint64(5) {
		without, none := play(New(nil, 0.5), n, slowTail(rand.New(rand.NewPCG(seed, 1))))
		with, second := play(New(Shares{AllServices: share}, 0.5), n, slowTail(rand.New(rand.NewPCG(seed, 1))))
		if none != 0 || second > share*n+1 {
			t.Errorf("seed %d: %d second attempts while off, %d of %d with a share of %.2f", seed, none, second, n, share)
		}
		if before, after := quantile(without, 0.99), quantile(with, 0.99); before < 400*ms || after > objective {
			t.Errorf("seed %d: p99 %s, without second attempts %s", seed, after, before)
		}
	}
}

// Guards against extra work for a service that is slow as a whole, or lacks room.
func TestOverloadedServiceGetsNoSecondAttempts(t *testing.T) {
	d := New(Shares{"s": 1}, 0)
	if _, second := play(d, 1000, func() time.Duration { return 200 * ms }); second > minSamples {
		t.Errorf("%d second attempts at a service whose answers all take 200 ms", second)
	}
	d.RecordFull("s", start)
	if got := d.Check("s", start.Add(noRoomPause-1)); got != NoRoom {
		t.Errorf("after a refusal: %q", got)
	}
	if got := d.Check("s", start.Add(noRoomPause)); got != None {
		t.Errorf("after the pause: %q", got)
	}
}

// Guards against a share that many instances with few requests each never use, or use together many times over.
func TestShareHoldsOverManyInstances(t *testing.T) {
	const instances, requests, share = 1000, 10, 0.05
	r, taken := rand.New(rand.NewPCG(1, 1)), 0
	for range instances {
		d := New(Shares{"s": share}, r.Float64())
		for range requests {
			d.RecordRequest("s")
			if d.Check("s", start) == None {
				d.Take("s")
				taken++
			}
		}
	}
	if want := instances * requests * share; float64(taken) < 0.8*want || float64(taken) > 1.2*want {
		t.Errorf("%d second attempts, %v allowed", taken, want)
	}
}

// Guards against a delay that outlasts a slow time, or that leaves a second attempt no time.
func TestDelayFollowsRecentAnswers(t *testing.T) {
	d := New(Shares{"s": 1}, 0)
	check := func(want time.Duration, now time.Time) {
		t.Helper()
		if got, denial := d.Delay(target, objective, now); got != want || denial != None {
			t.Errorf("delay %s, %q, want %s", got, denial, want)
		}
	}
	check(objective/2, start)
	for i := range 100 {
		d.RecordAnswer(target, time.Duration(i)*ms, start)
	}
	check(objective-50*ms, start)
	for range maxSamples {
		d.RecordAnswer(target, 9*ms, start)
	}
	check(9*ms, start)
	check(objective/2, start.Add(maxSampleAge+1))
}

// Guards against a share that is no part of the requests and disables the limit.
func TestInvalidShares(t *testing.T) {
	for share, valid := range map[float64]bool{0: true, 0.05: true, 1: true, -0.1: false, 1.01: false, math.NaN(): false, math.Inf(1): false} {
		if err := (Shares{"s": share}).Validate(); (err == nil) != valid {
			t.Errorf("%v: %v", share, err)
		}
	}
}

// Guards against memory that grows with each route that was ever used, and against new routes that are never learnt.
func TestTargetsAreBounded(t *testing.T) {
	d, now := New(Shares{"s": 1}, 0), start
	for i := range 3 * maxTargets {
		now = now.Add(maxSampleAge / maxTargets)
		d.RecordAnswer(Target{fmt.Sprint(i), "s"}, ms, now)
		if len(d.latency) > maxTargets {
			t.Fatalf("%d targets", len(d.latency))
		}
	}
	if d.latency[Target{fmt.Sprint(3*maxTargets - 1), "s"}] == nil {
		t.Error("the latest route is not learnt")
	}
}
