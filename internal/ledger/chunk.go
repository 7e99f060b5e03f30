package ledger

import "math/bits"

// taskChunk is the state of the tasks of a job that share one key of the key-value store. Task
// indexes are relative to the chunk's first task.
type taskChunk struct {
	modRevision uint64 // mod revision of the key; 0: the key does not exist
	lastAttempt uint64 // the last attempt number issued
	done        bitmap
	claims      map[int]ClaimRecord // claims of tasks that are not done
	auditBlock  uint64              // audit log block that records the latest claims; 0: none

	dirty             bool   // differs from the stored chunk
	uncommittedClaims int    // number of claims that are not durable
	inFlightBatch     uint64 // number of the batch in flight that writes the chunk; 0: none

	// Tasks of which a claim was removed that the store may still have: not in any batch yet, and in
	// the batch in flight.
	unstoredFrees, freesInFlight map[int]bool
}

// recordFree records that a task's claim was removed since the last write.
func (c *taskChunk) recordFree(task int) {
	if c.unstoredFrees == nil {
		c.unstoredFrees = make(map[int]bool)
	}
	c.unstoredFrees[task] = true
}

// requeueFrees records that the batch in flight was not committed.
func (c *taskChunk) requeueFrees() {
	for task := range c.freesInFlight {
		c.recordFree(task)
	}
	c.freesInFlight = nil
}

func (c *taskChunk) inFlight() bool { return c.inFlightBatch != 0 }

// lastTask returns the last task that is claimed or done, or -1.
func (c *taskChunk) lastTask() int {
	last := c.done.last()
	for task := range c.claims {
		last = max(last, task)
	}
	return last
}

// bitmap is a set of small integers, only as long as its largest member requires.
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

// last returns the largest member, or -1.
func (b bitmap) last() int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i*8 + bits.Len8(b[i]) - 1
		}
	}
	return -1
}

// members returns the integers in the set.
func (b bitmap) members() map[int]bool {
	members := make(map[int]bool)
	for i, octet := range b {
		for ; octet != 0; octet &= octet - 1 {
			members[i*8+bits.TrailingZeros8(octet)] = true
		}
	}
	return members
}
