// Package machines stands in for the users' machines: their store and their
// runners, as far as clementinerack speaks with them.
package machines
