// Package machines provides stand-ins for the users' machines: an in-memory store
// and runners that speak the protocols that clementinerack uses with them.
package machines
