package play

import (
	"time"

	"github.com/clementinerack/clementinerack/standins/engine/emulator"
)

// Chat is a load like that of the deployments so far: long prompts with a large shared
// part, summaries and short questions at 18 engines behind 9 instances. times multiplies
// the arrivals.
func Chat(name string, times float64) Load {
	l := Load{Name: name, Instances: 9, Duration: 30 * time.Second, Seed: 20261204, Classes: []Class{
		{Name: "long", PerSecond: 19.5 * times, Priority: 1, Shared: 13_300, Own: 3720, Things: 73, Output: 120, Aim: time.Second, Pause: 500 * time.Millisecond, Worth: 3},
		{Name: "summary", PerSecond: 13.7 * times, Priority: 0, Shared: 6300, Own: 2890, Things: 51, Output: 52, Aim: 800 * time.Millisecond, Pause: 500 * time.Millisecond, Worth: 2.6},
		{Name: "short", PerSecond: 21.4 * times, Priority: 2, Shared: 350, Own: 1110, Things: 121, Output: 172, Aim: 600 * time.Millisecond, Pause: 500 * time.Millisecond, Worth: 0.41},
	}}
	for i := range 18 {
		o := emulator.Options{Batch: 64, Step: 4630 * time.Microsecond, PerRun: 153 * time.Microsecond, PerContext: 3 * time.Microsecond,
			ReadPerMilli: 37.9, Chunk: 2048, Memory: 352_000, Stride: 4}
		if i%3 == 2 {
			o.Slowness = 1.3
		}
		l.Engines = append(l.Engines, o)
	}
	return l
}

// Loads returns the loads that policies are compared at.
func Loads() []Load {
	burst, hot, slow := Chat("burst of 1.7 times", 1), Chat("28% about one thing", 1), Chat("one engine 4 times slower", 1)
	burst.Burst, hot.Hot = 1.7, 0.28
	slow.Engines[0].Slowness = 4
	return []Load{Chat("usual", 1), Chat("twice the usual", 2), burst, hot, slow}
}
