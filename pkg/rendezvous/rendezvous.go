// Package rendezvous has the hash that the rendezvous choices of all packages
// share, so that they spread alike.
//
// Limits: the hash is not meant for hostile keys.
package rendezvous

import "hash/fnv"

// Hash returns the mixed hash of a name.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return Mix(h.Sum64())
}

// Mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014). FNV-1a alone gives
// related values for names that differ only in their last character.
func Mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
