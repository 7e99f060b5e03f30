package ledger

import (
	"errors"
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// What is reserved for tasks of unknown jobs counts against every team.
func TestReservedUsage(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUsMax: 4}, {Name: "u", CPUsMax: 2}})
	array := table.AddJob("r", JobRecord{Job: wire.Job{ID: "r", Team: "t", Kind: wire.KindArray, TaskCount: 6, CPUs: 1}, ChunkTasks: 4}, 3)
	gang := table.AddJob("s", JobRecord{Job: wire.Job{ID: "s", Team: "u", Kind: wire.KindGang, TaskCount: 2, CPUs: 1}, ChunkTasks: 4}, 3)
	if table.QuotaHeadroom(array) != 4 || !table.CanClaimGang(gang) {
		t.Fatal("before")
	}
	table.Reserve(3, 0)
	if table.QuotaHeadroom(array) != 1 || table.QuotaHeadroom(gang) != 0 || table.CanClaimGang(gang) || !errors.Is(table.CheckClaim(gang, "a"), ErrQuotaExceeded) || table.CheckClaim(array, "a") != nil {
		t.Errorf("room for %d and %d", table.QuotaHeadroom(array), table.QuotaHeadroom(gang))
	}
	table.Reserve(0, 0)
	if table.QuotaHeadroom(array) != 4 {
		t.Error("after")
	}
}
