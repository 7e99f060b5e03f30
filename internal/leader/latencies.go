package leader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rillflow/internal/ledger"
)

// latencies are histograms of latencies in a term, in milliseconds. The heartbeat reconciler
// records them, the status view reads them; both hold mu.
type latencies struct {
	start *hdrhistogram.Histogram // of a task, from ready to running
}

// Range and precision of the recorded latencies.
const (
	maxLatency       = time.Hour
	latencyDigits    = 2 // significant decimal digits
	minLatencyMillis = 1
)

func newLatencies() *latencies {
	return &latencies{start: hdrhistogram.New(minLatencyMillis, maxLatency.Milliseconds(), latencyDigits)}
}

// recordStart records the latency from a task's job being ready to the task running.
func (l *latencies) recordStart(claim *ledger.Claim, now time.Time) {
	// RecordValue rejects values out of range; they are not needed here.
	_ = l.start.RecordValue(now.Sub(claim.Job.ReadyAt).Milliseconds())
}
