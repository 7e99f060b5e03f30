// Package pressure detects when this process is close to its memory limit, so that new work is
// rejected while there is memory left for the work already accepted.
package pressure

import (
	"runtime/metrics"
	"sync"
	"time"
)

// Gauge measures the memory that the process holds. It is safe for concurrent use.
type Gauge struct {
	limitBytes  uint64
	minInterval time.Duration // between two measurements
	measure     func() uint64
	now         func() time.Time

	mu         sync.Mutex // guards the fields below
	measuredAt time.Time
	heldBytes  uint64
}

// New returns a gauge that measures at most once per minInterval.
func New(limitBytes uint64, minInterval time.Duration) *Gauge {
	return &Gauge{limitBytes: limitBytes, minInterval: minInterval, measure: measureHeldBytes, now: time.Now}
}

// measureHeldBytes returns the memory that the Go runtime has obtained from the operating system and
// not returned.
func measureHeldBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// HeldBytes returns the bytes of memory that the process held at the last measurement.
func (g *Gauge) HeldBytes() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.now(); g.measuredAt.IsZero() || now.Sub(g.measuredAt) >= g.minInterval {
		g.measuredAt, g.heldBytes = now, g.measure()
	}
	return g.heldBytes
}

// AboveLimit reports whether the process holds more memory than the limit. The garbage collector's
// memory limit is lower, so memory above this limit is in use and not garbage.
func (g *Gauge) AboveLimit() bool { return g.HeldBytes() > g.limitBytes }
