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
	array := table.AddJob("r", newJobRecord("t", wire.KindArray, 6, 1), 3)
	gang := table.AddJob("s", newJobRecord("u", wire.KindGang, 2, 1), 3)
	if table.QuotaHeadroom(array) != 4 || !table.CanClaimGang(gang) {
		t.Fatal("before")
	}
	table.Reserve(3, 0)
	if table.QuotaHeadroom(array) != 1 || table.QuotaHeadroom(gang) != 0 {
		t.Errorf("headroom of %d and %d", table.QuotaHeadroom(array), table.QuotaHeadroom(gang))
	}
	if err := table.CheckClaim(gang, "a"); !errors.Is(err, ErrQuotaExceeded) || table.CanClaimGang(gang) {
		t.Errorf("the gang may be claimed: %v", err)
	}
	if err := table.CheckClaim(array, "a"); err != nil {
		t.Errorf("the array may not be claimed: %v", err)
	}
	table.Reserve(0, 0)
	if table.QuotaHeadroom(array) != 4 {
		t.Error("after")
	}
}
