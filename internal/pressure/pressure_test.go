package pressure

import (
	"testing"
	"time"
)

func TestGauge(t *testing.T) {
	now, heldBytes, measurements := time.Unix(1, 0), uint64(90), 0
	g := New(100, time.Second)
	g.now = func() time.Time { return now }
	g.measure = func() uint64 { measurements++; return heldBytes }
	for _, tc := range []struct {
		name             string
		heldBytes        uint64
		elapsed          time.Duration
		wantAboveLimit   bool
		wantMeasurements int
	}{
		{"below the limit", 90, 0, false, 1},
		{"not measured again within the interval", 110, time.Second / 2, false, 1},
		{"above the limit", 110, time.Second, true, 2},
		{"at the limit", 100, time.Second, false, 3},
	} {
		heldBytes, now = tc.heldBytes, now.Add(tc.elapsed)
		if got := g.AboveLimit(); got != tc.wantAboveLimit || measurements != tc.wantMeasurements {
			t.Errorf("%s: AboveLimit %v after %d measurements, want %v after %d",
				tc.name, got, measurements, tc.wantAboveLimit, tc.wantMeasurements)
		}
	}
	if process := New(1, time.Second); !process.AboveLimit() || process.HeldBytes() < 1<<16 {
		t.Errorf("this process holds %d bytes, want at least %d", process.HeldBytes(), 1<<16)
	}
}
