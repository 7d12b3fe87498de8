package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// traffic sends sound requests at a rate to random machines until stop is closed, and returns
// their answers once all have ended.
func (w *world) traffic(path string, perSecond float64, events int, stop <-chan struct{}) func() []answer {
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			alive := w.alive()
			m := alive[rand.IntN(len(alive))]
			running.Add(1)
			go func() {
				defer running.Done()
				a := w.send(m, path, []string{promptPart(sharedPart, 800), ownPart()}, events)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}()
	return func() []answer {
		<-ended
		running.Wait()
		return answers
	}
}

// restartedInPlace is the case of runners that come back under their ids with another version of
// their software while the store is away.
func restartedInPlace(w *world) (bool, error) {
	w.pause = 120 * time.Millisecond
	time.Sleep(8 * time.Second) // the fleet settles
	stop := make(chan struct{})
	wait := w.traffic("/carta/", 54, 40, stop)
	time.Sleep(2 * time.Second)
	upgraded := []*runner{w.runners[0], w.runners[5], w.runners[10], w.runners[14]} // 4 of 18, in different zones
	if w.trouble {
		w.rec.log("the store falls silent")
		w.store.setSilent(true)
		time.Sleep(300 * time.Millisecond)
		for _, r := range upgraded {
			r.crash("it is replaced")
		}
		time.Sleep(300 * time.Millisecond)
		for _, r := range upgraded {
			if err := r.start(r.id, "v2"); err != nil {
				return false, err
			}
		}
		time.Sleep(3900 * time.Millisecond)
		w.rec.log("the store answers again")
		w.store.setSilent(false)
		time.Sleep(1500 * time.Millisecond)
		for _, r := range upgraded {
			r.crash("it fails")
		}
		time.Sleep(2 * time.Second)
		for _, r := range upgraded {
			if err := r.start(r.id, "v2"); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	mixed := 0
	for _, a := range wait() {
		if len(a.versions) > 1 {
			mixed++
			w.rec.log("%s holds events of two versions", a.attempt)
		}
	}
	w.rec.log("streams with events of two versions: %d, allowed are 2", mixed)
	return mixed > 2, nil
}

// arrivalsAfterFifthCrash returns how many requests with the bad part, sent by their clients
// later than contactWindow after the fifth crash, have reached runners.
func (w *world) arrivalsAfterFifthCrash(bad []answer) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("runners crashed: %d", len(w.deaths))
	if len(w.deaths) < 5 {
		return 0
	}
	from := w.deaths[4].at.Add(contactWindow)
	w.rec.log("the fifth crash is at %.3f, so that the rule holds from %.3f", w.deaths[4].at.Sub(w.rec.start).Seconds(), from.Sub(w.rec.start).Seconds())
	late := map[string]bool{}
	for _, a := range bad {
		late[a.attempt] = a.sent.After(from)
	}
	n := 0
	for _, r := range w.runs {
		if late[r.attempt] && r.at.After(from) {
			n++
		}
	}
	w.rec.log("requests with the crashing part that reached runners after that: %d, allowed are 3", n)
	return n
}

// reviveLoop has each crashed runner come back some seconds later as a new incarnation.
func (w *world) reviveLoop(stop <-chan struct{}) {
	downSince := map[*runner]time.Time{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, r := range w.runners {
			switch since, down := downSince[r]; {
			case r.isUp():
				delete(downSince, r)
			case !down:
				downSince[r] = time.Now()
			case time.Since(since) > 3*time.Second:
				if err := r.start(fmt.Sprintf("i-%08x", rand.Uint32()), "v1"); err != nil {
					w.rec.log("runner does not start: %v", err)
				}
			}
		}
	}
}

// badParts returns the parts of a prompt with the crashing part.
func badParts() []string {
	return []string{promptPart(sharedPart, 800), promptPart(badPart, 200), ownPart()}
}

// badTraffic sends bursts of requests with the crashing part, each of size requests at the same time.
func (w *world) badTraffic(bursts, size int, gap time.Duration) []answer {
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	for range bursts {
		alive := w.alive()
		for range size {
			m := alive[rand.IntN(len(alive))]
			running.Add(1)
			go func() {
				defer running.Done()
				a := w.send(m, "/resumen/", badParts(), 20)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
		time.Sleep(gap)
	}
	running.Wait()
	return answers
}

// mostMachinesLost is the case of a part that crashes runners after six of nine machines are lost.
func mostMachinesLost(w *world) (bool, error) {
	time.Sleep(10 * time.Second) // the fleet settles
	stop := make(chan struct{})
	defer close(stop)
	go w.reviveLoop(stop)
	w.poisoned = true
	if w.trouble {
		for i, m := range w.machines {
			if i%3 != 0 {
				m.kill()
				w.rec.log("machine %s is lost for good", m.name)
			}
		}
	}
	soundStop := make(chan struct{})
	wait := w.traffic("/resumen/", 8, 20, soundStop)
	bad := w.badTraffic(20, 1, 400*time.Millisecond)
	close(soundStop)
	w.reportSound(wait())
	return w.arrivalsAfterFifthCrash(bad) > 3, nil
}

// reportSound records how many sound requests were served.
func (w *world) reportSound(sound []answer) {
	complete := 0
	for _, a := range sound {
		if a.complete {
			complete++
		}
	}
	w.rec.log("sound requests: %d, answered completely: %d", len(sound), complete)
}

// parallelCrashes is the case of a part that crashes runners and comes in several requests at
// the same time.
func parallelCrashes(w *world) (bool, error) {
	time.Sleep(10 * time.Second) // the fleet settles
	stop := make(chan struct{})
	defer close(stop)
	go w.reviveLoop(stop)
	w.poisoned = w.trouble
	soundStop := make(chan struct{})
	wait := w.traffic("/resumen/", 8, 20, soundStop)
	time.Sleep(time.Second)
	bad := w.badTraffic(4, 6, 4*time.Second)
	close(soundStop)
	w.reportSound(wait())
	return w.arrivalsAfterFifthCrash(bad) > 3, nil
}

// silentWatch is the case of an instance whose connection to the store falls silent while a new
// software version comes, and of a machine beside it that is lost: clients take up its streams at
// that instance.
func silentWatch(w *world) (bool, error) {
	w.pause = 120 * time.Millisecond
	time.Sleep(10 * time.Second)                    // the fleet settles
	neighbor, blind := w.machines[7], w.machines[8] // the machines of one zone
	stop := make(chan struct{})
	wait := w.traffic("/carta/", 25, 40, stop)
	var mu sync.Mutex
	var clients sync.WaitGroup
	var answers []answer
	go func() { // the clients of that zone: they retry at the other machine of it
		ticker := time.NewTicker(time.Second / 25)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				if neighbor.isDead() {
					return
				}
				parts := []string{promptPart(sharedPart, 800), ownPart()}
				a := w.send(neighbor, "/carta/", parts, 40)
				if !a.complete && a.events > 0 {
					w.resume(&a, blind, "/carta/", parts, 40)
				}
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	if w.trouble {
		silenced, all := blind.proxy.silence("prefix=servers")
		w.rec.log("%d of %d connections of %s to the store fall silent", silenced, all, blind.name)
	}
	for i := range 5 {
		if _, err := w.newRunner(fmt.Sprintf("i-%08x", rand.Uint32()), zones[i%len(zones)].name, "v2"); err != nil {
			return false, err
		}
	}
	time.Sleep(3050 * time.Millisecond)
	w.rec.log("machine %s is killed", neighbor.name)
	neighbor.kill()
	time.Sleep(time.Second)
	close(stop)
	wait()
	clients.Wait()
	mixed := 0
	for _, a := range answers {
		if len(a.versions) > 1 {
			mixed++
			w.rec.log("%s holds events of two versions over the tries of its client", a.attempt)
		}
	}
	w.rec.log("streams with events of two versions: %d, allowed are 2", mixed)
	return mixed > 2, nil
}
