// Package pressure tells when this process is close to its limit of memory, so
// that new work is turned away while there is room left to serve what was taken.
package pressure

import (
	"runtime/metrics"
	"sync"
	"time"
)

// Gauge watches the memory that the process holds. It is safe for concurrent use.
type Gauge struct {
	limit uint64
	every time.Duration
	read  func() uint64
	now   func() time.Time

	mu   sync.Mutex
	at   time.Time
	held uint64
}

// New makes a gauge for a limit in bytes that looks at most once in every so long.
func New(limit uint64, every time.Duration) *Gauge {
	return &Gauge{limit: limit, every: every, read: held, now: time.Now}
}

// held is what the runtime has of the system and has not given back, in bytes.
func held() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}

// Held is how much memory the process held when last looked at, in bytes.
func (g *Gauge) Held() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.now(); g.at.IsZero() || now.Sub(g.at) >= g.every {
		g.at, g.held = now, g.read()
	}
	return g.held
}

// High tells whether more than the limit is held. The collector keeps to a lower
// goal, so that is no garbage but what is in use.
func (g *Gauge) High() bool { return g.Held() > g.limit }
