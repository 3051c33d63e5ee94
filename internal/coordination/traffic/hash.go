package traffic

import (
	"math"
	"math/bits"
)

// mix64 spreads the bits of x over the whole word (the finalizer of SplitMix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Parts of a normalized 64-bit word: the leading one, the index into the table
// of logarithms, and the fraction between two entries.
const (
	logIndexBits    = 10
	logFractionBits = 32
	logIndexShift   = 64 - 1 - logIndexBits
	logFractShift   = logIndexShift - logFractionBits
)

// logTable holds log2(1 + i/2^logIndexBits).
var logTable = newLogTable()

// newLogTable computes logTable.
func newLogTable() *[1<<logIndexBits + 1]float64 {
	var table [1<<logIndexBits + 1]float64
	for i := range table {
		table[i] = math.Log2(1 + float64(i)/(1<<logIndexBits))
	}
	return &table
}

// negativeLog2 returns -log2(hash / 2^64) to about seven digits, without the
// cost of math.Log.
func negativeLog2(hash uint64) float64 {
	hash |= 1
	zeros := bits.LeadingZeros64(hash)
	hash <<= zeros
	i := hash >> logIndexShift & (1<<logIndexBits - 1)
	fraction := float64(hash>>logFractShift&(1<<logFractionBits-1)) / (1 << logFractionBits)
	mantissa := logTable[i] + fraction*(logTable[i+1]-logTable[i])
	return float64(zeros+1) - mantissa
}

// minWeight stands for a weight of zero; such a domain ranks last.
const minWeight = 1e-12

// weightedScore returns the weighted rendezvous score of a hash; the lowest wins.
func weightedScore(hash uint64, weight float64) float64 {
	return negativeLog2(hash) / max(weight, minWeight)
}
