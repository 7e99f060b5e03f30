package election

import (
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
)

// A leader key that came back with a restore is told from one that somebody leads by.
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
		{"another leads", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, false, time.Hour, false},
		{"it raised the epoch since", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "b"}, false, time.Hour, false},
		{"it has just begun", leaderRecord{"b", 5}, ShardMap{Epoch: 4, Leader: "c"}, false, time.Hour, false},
		{"below an epoch of another's", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false,
			2 * leaseDuration, true},
		{"the same, not for long", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false,
			leaseDuration / 2, false},
		{"suspected", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, 3 * leaseDuration, true},
		{"suspected, not for long", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, leaseDuration, false},
		{"left by this controller's last run", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false,
			3 * leaseDuration, true},
		{"the same, its lease yet to expire", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false,
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
				t.Errorf("stale: %v", got)
			}
		})
	}
}
