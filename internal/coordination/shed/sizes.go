package shed

import "slices"

const (
	// keptSizes is the number of sizes of answers that are kept, minSizes the number that is
	// needed to tell what is usual.
	keptSizes = 64
	minSizes  = 24
	// shortRank is the rank of the shortest usual answer among the sizes kept. Those below it
	// are left out, so that one caller's requests can't shift what is usual.
	shortRank = keptSizes / 20
	// rejectionShare is the size of the largest rejection as a fraction of the shortest usual
	// answer. A rejection is the head of an error response.
	rejectionShare = 0.7
)

// sizes tell rejections from answers by what a host sees of both: their size. No size is
// assumed. What comes while the targets have no queue are answers, and what is far shorter
// than those is a rejection. The zero value is ready to use.
type sizes struct {
	// usual are the sizes in bytes of the latest answers without a queue, next the index of the
	// oldest one once keptSizes are kept.
	usual []uint32
	next  int
	// largestRejection is 0 while it is not known what is usual.
	largestRejection uint32
}

// learn adds the sizes of answers without a queue.
func (s *sizes) learn(answers []uint32) {
	for _, size := range answers {
		if len(s.usual) < keptSizes {
			s.usual = append(s.usual, size)
			continue
		}
		s.usual[s.next] = size
		s.next = (s.next + 1) % keptSizes
	}
	if len(s.usual) < minSizes {
		return
	}
	sorted := slices.Sorted(slices.Values(s.usual))
	shortest := sorted[len(sorted)*shortRank/keptSizes]
	s.largestRejection = uint32(rejectionShare * float64(shortest))
}

// rejection reports whether an answer of a size in bytes is a rejection. The size 0 is not
// known.
func (s *sizes) rejection(size uint32) bool { return size > 0 && size <= s.largestRejection }
