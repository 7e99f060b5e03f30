package ledger

import (
	"errors"
	"math"
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Resources reserved for tasks of unknown jobs must count against every team's limit.
func TestReservedUsage(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUsMax: 4}, {Name: "u", CPUsMax: 2}})
	array := table.AddJob("r", newJobRecord("t", wire.KindArray, 6, 1), 3)
	gang := table.AddJob("s", newJobRecord("u", wire.KindGang, 2, 1), 3)
	if table.QuotaHeadroom(array) != 4 || !table.CanClaimGang(gang) {
		t.Fatalf("without a reservation: headroom of %d, want 4; gang may be claimed: %v, want true",
			table.QuotaHeadroom(array), table.CanClaimGang(gang))
	}
	table.SetReserved(3, 0)
	if table.QuotaHeadroom(array) != 1 || table.QuotaHeadroom(gang) != 0 {
		t.Errorf("headroom of %d and %d, want 1 and 0", table.QuotaHeadroom(array), table.QuotaHeadroom(gang))
	}
	if err := table.CheckClaim(gang, "a"); !errors.Is(err, ErrQuotaExceeded) || table.CanClaimGang(gang) {
		t.Errorf("claim of the gang: got error %v, want %v; may be claimed: %v, want false",
			err, ErrQuotaExceeded, table.CanClaimGang(gang))
	}
	if err := table.CheckClaim(array, "a"); err != nil {
		t.Errorf("claim of the array: got error %v, want none", err)
	}
	table.SetReserved(0, 0)
	if table.QuotaHeadroom(array) != 4 {
		t.Errorf("after the reservation was removed: headroom of %d, want 4", table.QuotaHeadroom(array))
	}
}

// A team without a limit may claim all tasks of a job, however many it has claimed before.
func TestQuotaWithoutLimit(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUsMax: math.Inf(1), GPUsMax: math.Inf(1)}})
	array := table.AddJob("r", newJobRecord("t", wire.KindArray, 6, 1), 3)
	if _, err := table.Claim(array, "i-1", 1, "a"); err != nil {
		t.Fatal(err)
	}
	table.SetReserved(1e6, 0)
	if got := table.QuotaHeadroom(array); got != 6 {
		t.Errorf("got headroom for %d tasks, want all 6 of the job", got)
	}
	if err := table.CheckClaim(array, "a"); err != nil {
		t.Errorf("claim of the array: got error %v, want none", err)
	}
	if table.WithinGuaranteedQuota(array) {
		t.Error("a team without a guarantee is within it")
	}
}
