package traffic

import "math"

// mix64 spreads the bits of x over the whole word (the finalizer of SplitMix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// mantissaBits is the precision of a float64 draw.
const mantissaBits = 53

// draw turns a hash into a number in (0, 1].
func draw(hash uint64) float64 {
	return float64(hash>>(64-mantissaBits)+1) / (1 << mantissaBits)
}

// leastWeight stands for a weight of zero: such a domain ranks last.
const leastWeight = 1e-12

// weightedScore is the weighted rendezvous score of a hash; the least wins.
func weightedScore(hash uint64, weight float64) float64 {
	return -math.Log(draw(hash)) / max(weight, leastWeight)
}
