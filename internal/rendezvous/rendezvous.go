// Package rendezvous implements rendezvous (highest random weight) hashing. Processes that
// know the same names choose the same ones for each key without communication, and few
// choices change when a name is added or removed.
package rendezvous

import "hash/fnv"

// Hash returns the weight of a name for a key. The names with the highest weights are chosen.
func Hash(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix is the finalizer of splitmix64. FNV hashes of names that differ only in the last
// byte are too similar without it.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
