// Package rendezvous provides the hash functions for rendezvous hashing. All packages
// share them, so that their choices are spread alike.
//
// The hash is not collision-resistant: it must not be used where keys may be hostile.
package rendezvous

import "hash/fnv"

// Hash returns the FNV-1a hash of a name after Mix.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return Mix(h.Sum64())
}

// Mix applies the finalizer of SplitMix64 (Steele, Lea, Flood 2014). It is needed
// because FNV-1a alone gives correlated values for names that differ only in their last
// character.
func Mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
