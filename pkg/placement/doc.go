// Package placement chooses the endpoint of a request.
//
// The choice minimizes the expected time to the first byte: the prompt tokens
// that the endpoint has not cached, the work that this instance has sent there
// and that has not begun, and how late the endpoint was lately. All instances
// rank endpoints alike for a prompt, so that its shared parts are read once. It
// answers load that is skewed towards a few prompts, endpoints that are slow,
// failing or gone, and failure domains that are cut off.
//
// Limits: no I/O, no goroutine; time is a parameter.
package placement
