// Package play lets callers' requests arrive at emulated engines, by way of several
// instances that each choose engines with a policy of their own, and tells what the
// callers got. All of it runs on a simulated clock from a fixed seed.
package play
