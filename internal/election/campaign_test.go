package election

import (
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
)

// A leader key that was brought back by a restore must be recognized as stale, and one under
// which a controller leads must not.
func TestStaleLeader(t *testing.T) {
	const leaseDuration = time.Second
	for _, tc := range []struct {
		name         string
		record       leaderRecord
		known        ShardMap
		suspected    bool
		unchangedFor time.Duration
		want         bool
	}{
		{"another controller leads", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, false, time.Hour, false},
		{"its leader has raised the epoch", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "b"}, false, time.Hour, false},
		{"newer than the known map", leaderRecord{"b", 5}, ShardMap{Epoch: 4, Leader: "c"}, false, time.Hour, false},
		{"below another leader's epoch", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false,
			2 * leaseDuration, true},
		{"below another leader's epoch, just seen", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false,
			leaseDuration / 2, false},
		{"data loss suspected", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, 3 * leaseDuration, true},
		{"suspected, just seen", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, leaseDuration, false},
		{"left over from before a restart", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false,
			3 * leaseDuration, true},
		{"left over from before a restart, lease not expired", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false,
			leaseDuration, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			store := kvstore.New(kvstore.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
			detector := dataloss.NewDetector(store, nil, log)
			if tc.suspected {
				detector.Suspect("x")
			}
			e := New(Options{
				Store: store, Controller: "a", LeaseDuration: leaseDuration, Detector: detector, Log: log,
			})
			e.epochs.shardMap = tc.known
			e.observed = leaderObservation{tc.record, tc.suspected, time.Now().Add(-tc.unchangedFor)}
			if got := e.isStaleLeader(tc.record); got != tc.want {
				t.Errorf("stale: got %v, want %v", got, tc.want)
			}
		})
	}
}
