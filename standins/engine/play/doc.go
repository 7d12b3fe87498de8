// Package play simulates callers that send requests to emulated engines through
// several instances, each with its own placement policy, and measures the latency and
// the recomputed prompt tokens. The simulation uses a simulated clock and a fixed seed,
// so its results are reproducible.
package play
