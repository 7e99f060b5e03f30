package ledger

import "math/bits"

// taskChunk is the state of those tasks of a job that share one key of the key-value store.
// Tasks are counted from the chunk's first.
type taskChunk struct {
	modRevision uint64 // of the key; 0: it does not exist
	lastAttempt uint64 // the last one given out
	done        bitmap
	claims      map[int]ClaimRecord // of tasks that are not done
	auditBlock  uint64              // block of the audit log that tells of the last claims; 0: none

	dirty         bool   // differs from what is stored
	uncommitted   int    // claims that are not durable
	inFlightWrite uint64 // number of the write under way; 0: none
}

func (c *taskChunk) inFlight() bool { return c.inFlightWrite != 0 }

// lastTask is the last task that is claimed or done, or -1.
func (c *taskChunk) lastTask() int {
	last := c.done.last()
	for task := range c.claims {
		last = max(last, task)
	}
	return last
}

// bitmap is a set of small integers, as short as its largest member allows.
type bitmap []byte

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b *bitmap) set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

func (b bitmap) count() int {
	n := 0
	for _, octet := range b {
		n += bits.OnesCount8(octet)
	}
	return n
}

// last is the largest member, or -1.
func (b bitmap) last() int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i*8 + bits.Len8(b[i]) - 1
		}
	}
	return -1
}

// members are the integers in the set.
func (b bitmap) members() map[int]bool {
	members := make(map[int]bool)
	for i, octet := range b {
		for ; octet != 0; octet &= octet - 1 {
			members[i*8+bits.TrailingZeros8(octet)] = true
		}
	}
	return members
}
