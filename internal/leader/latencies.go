package leader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rillflow/internal/ledger"
)

// latencies are how long things took in a term, in milliseconds. The heartbeat reconciler
// records, the status reads; both hold mu.
type latencies struct {
	start *hdrhistogram.Histogram // of a task: from ready to running
}

// Bounds of what is recorded.
const (
	maxLatency         = time.Hour
	latencyDigits      = 2 // significant ones
	minLatencyRecorded = 1 // millisecond
)

func newLatencies() *latencies {
	return &latencies{start: hdrhistogram.New(minLatencyRecorded, maxLatency.Milliseconds(), latencyDigits)}
}

// recordStart records how long a task waited to run.
func (l *latencies) recordStart(claim *ledger.Claim, now time.Time) {
	// Only a value out of range is refused; such a wait is of no use here.
	_ = l.start.RecordValue(now.Sub(claim.Job.ReadyAt).Milliseconds())
}
