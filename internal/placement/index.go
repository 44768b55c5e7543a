package placement

import "math/bits"

// The index has four buckets for each power of two of free millicores.
const (
	indexBuckets     = 64 * quartersPerPower
	quartersPerPower = 4
)

// index groups the nodes that accept runs by their free processors, so that the
// search for a worker skips those with too few.
type index struct {
	buckets  [indexBuckets][]*node
	nonEmpty [indexBuckets / 64]uint64 // buckets that are not empty
	size     int
}

func newIndex(nodes []*node) *index {
	x := &index{}
	for _, n := range nodes {
		n.bucket = -1
		if n.acceptsRuns() {
			x.insert(n)
		}
	}
	return x
}

func (x *index) insert(n *node) {
	b := freeBucket(n.free.MilliCPU)
	n.bucket, n.slot = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], n)
	x.nonEmpty[b/64] |= 1 << (b % 64)
	x.size++
}

func (x *index) remove(n *node) {
	list := x.buckets[n.bucket]
	last := list[len(list)-1]
	list[n.slot] = last
	last.slot = n.slot
	x.buckets[n.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		x.nonEmpty[n.bucket/64] &^= 1 << (n.bucket % 64)
	}
	n.bucket = -1
	x.size--
}

// update moves n to the bucket of its present free processors. A node outside the
// index does not accept runs and is not added.
func (x *index) update(n *node) {
	if n.bucket < 0 {
		return
	}
	if freeBucket(n.free.MilliCPU) == n.bucket && n.acceptsRuns() {
		return
	}
	x.remove(n)
	if n.acceptsRuns() {
		x.insert(n)
	}
}

// nextNonEmpty returns the first bucket at or above b that is not empty, or -1.
func (x *index) nextNonEmpty(b int) int {
	for w := b / 64; w < len(x.nonEmpty); w++ {
		word := x.nonEmpty[w]
		if w == b/64 {
			word &= ^uint64(0) << (b % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// visit calls f for the nodes that may have at least milliCPU free, until f
// returns false. It begins at a position derived from start and wraps around, so
// that searches with different starts spread over the nodes.
func (x *index) visit(milliCPU int64, start uint64, f func(*node) bool) {
	low := freeBucket(milliCPU)
	n := 0
	for b := x.nextNonEmpty(low); b >= 0; b = x.nextNonEmpty(b + 1) {
		n += len(x.buckets[b])
	}
	if n == 0 {
		return
	}
	skip := int(start % uint64(n))
	if x.visitRange(low, skip, n, f) {
		x.visitRange(low, 0, skip, f)
	}
}

// visitRange calls f for the nodes at positions from to to-1 in the concatenation of the
// buckets from low upwards, until f returns false. It returns false if f did.
func (x *index) visitRange(low, from, to int, f func(*node) bool) bool {
	at := 0
	for b := x.nextNonEmpty(low); b >= 0 && at < to; b = x.nextNonEmpty(b + 1) {
		list := x.buckets[b]
		for i := max(0, from-at); i < len(list) && at+i < to; i++ {
			if !f(list[i]) {
				return false
			}
		}
		at += len(list)
	}
	return true
}

// freeBucket returns the bucket of v free millicores. A larger v never has a lower
// bucket.
func freeBucket(v int64) int {
	if v < quartersPerPower {
		return int(max(v, 0))
	}
	power := bits.Len64(uint64(v)) - 1
	quarter := int(v>>(power-2)) & (quartersPerPower - 1)
	return min(power*quartersPerPower+quarter, indexBuckets-1)
}
