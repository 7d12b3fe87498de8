package play

import (
	"time"

	"github.com/clementinerack/clementinerack/standins/engine/emulator"
)

// ChatWorkload returns a workload that resembles the existing deployments: long prompts
// with a large shared part, summaries and short questions, on 18 engines behind 9
// instances. rateFactor multiplies the arrival rates.
func ChatWorkload(name string, rateFactor float64) Workload {
	w := Workload{Name: name, Instances: 9, Duration: 30 * time.Second, Seed: 20261204, Classes: []Class{
		{Name: "long", ArrivalsPerSecond: 19.5 * rateFactor, Priority: 1, MeanSharedTokens: 13_300, MeanOwnTokens: 3720, SharedPartCount: 73, MeanOutputTokens: 120, MaxFirstEventDelay: time.Second, MaxEventInterval: 500 * time.Millisecond, Weight: 3},
		{Name: "summary", ArrivalsPerSecond: 13.7 * rateFactor, Priority: 0, MeanSharedTokens: 6300, MeanOwnTokens: 2890, SharedPartCount: 51, MeanOutputTokens: 52, MaxFirstEventDelay: 800 * time.Millisecond, MaxEventInterval: 500 * time.Millisecond, Weight: 2.6},
		{Name: "short", ArrivalsPerSecond: 21.4 * rateFactor, Priority: 2, MeanSharedTokens: 350, MeanOwnTokens: 1110, SharedPartCount: 121, MeanOutputTokens: 172, MaxFirstEventDelay: 600 * time.Millisecond, MaxEventInterval: 500 * time.Millisecond, Weight: 0.41},
	}}
	for i := range 18 {
		options := emulator.Options{Slots: 64, StepTime: 4630 * time.Microsecond, StepTimePerSequence: 153 * time.Microsecond, StepTimePerKContext: 3 * time.Microsecond,
			PrefillTokensPerMs: 37.9, MaxPrefillTokens: 2048, CacheTokens: 352_000, TokensPerEvent: 4}
		if i%3 == 2 {
			options.SlowdownFactor = 1.3
		}
		w.Engines = append(w.Engines, options)
	}
	return w
}

// Workloads returns the workloads under which policies are compared.
func Workloads() []Workload {
	burst, hot, slowEngine := ChatWorkload("burst of 1.7 times", 1), ChatWorkload("28% about one thing", 1), ChatWorkload("one engine 4 times slower", 1)
	burst.BurstFactor, hot.HotShare = 1.7, 0.28
	slowEngine.Engines[0].SlowdownFactor = 4
	return []Workload{ChatWorkload("usual", 1), ChatWorkload("twice the usual", 2), burst, hot, slowEngine}
}

// GrownWorkload returns a workload of 58 instances that each see few of the prompts, on 140
// engines. hotShare is the share of requests about one thing.
func GrownWorkload(name string, hotShare float64) Workload {
	w := Workload{Name: name, Instances: 58, Duration: 12 * time.Second, Seed: 20261206, HotShare: hotShare, Classes: []Class{
		{Name: "long", ArrivalsPerSecond: 182, Priority: 1, MeanSharedTokens: 13_300, MeanOwnTokens: 3720, SharedPartCount: 218, MeanOutputTokens: 120, MaxFirstEventDelay: time.Second, MaxEventInterval: 500 * time.Millisecond, Weight: 2.9},
		{Name: "summary", ArrivalsPerSecond: 75.7, Priority: 0, MeanSharedTokens: 6300, MeanOwnTokens: 2890, SharedPartCount: 150, MeanOutputTokens: 52, MaxFirstEventDelay: 600 * time.Millisecond, MaxEventInterval: 500 * time.Millisecond, Weight: 2.5},
		{Name: "short", ArrivalsPerSecond: 194, Priority: 2, MeanSharedTokens: 350, MeanOwnTokens: 1110, SharedPartCount: 300, MeanOutputTokens: 172, MaxFirstEventDelay: 500 * time.Millisecond, MaxEventInterval: 500 * time.Millisecond, Weight: 0.37},
	}}
	for range 140 {
		w.Engines = append(w.Engines, emulator.Options{Slots: 64, StepTime: 2600 * time.Microsecond, StepTimePerSequence: 153 * time.Microsecond,
			StepTimePerKContext: 3 * time.Microsecond, PrefillTokensPerMs: 48.2, MaxPrefillTokens: 2048, CacheTokens: 368_000, TokensPerEvent: 8})
	}
	return w
}
