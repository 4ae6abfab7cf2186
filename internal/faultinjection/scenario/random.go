package scenario

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
)

// RandomStreams is a set of independent streams of random numbers, each for one purpose. An additional draw from one stream does not
// affect the others.
type RandomStreams struct{ seed int64 }

// NewRandomStreams returns the streams of a seed.
func NewRandomStreams(seed int64) RandomStreams { return RandomStreams{seed} }

// Stream returns the stream for a purpose, from its beginning. The numbers distinguish several streams for one purpose, for instance
// by the number of a message.
func (r RandomStreams) Stream(purpose string, numbers ...int) *rand.Rand {
	// A stream is seeded with two 64-bit words: a hash of the seed and the purpose, and a mix of the numbers. The mix uses the
	// multiplier and a shift of the SplitMix64 finalizer, and starts from 2^64 divided by the golden ratio.
	const goldenRatio, multiplier, shift = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 29
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s", r.seed, purpose)
	mixed := uint64(goldenRatio)
	for _, number := range numbers {
		mixed = (mixed ^ uint64(number)) * multiplier
		mixed ^= mixed >> shift
	}
	return rand.New(rand.NewPCG(hash.Sum64(), mixed))
}

// RequestID returns the id of the n-th submission of a message.
func (r RandomStreams) RequestID(message, n int) string {
	return fmt.Sprintf("%012x%04x", r.Stream("id", message, n).Uint64()&0xffffffffffff, n&0xffff)
}

// drawIndex draws an index with a probability proportional to its weight.
func drawIndex(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	point := random.Float64() * sum
	for i, weight := range weights {
		if point -= weight; point < 0 {
			return i
		}
	}
	return len(weights) - 1
}
