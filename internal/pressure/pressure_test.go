package pressure

import (
	"testing"
	"time"
)

func TestGauge(t *testing.T) {
	at, have, reads := time.Unix(1, 0), uint64(90), 0
	g := New(100, time.Second)
	g.now = func() time.Time { return at }
	g.read = func() uint64 { reads++; return have }
	for _, tc := range []struct {
		name  string
		have  uint64
		after time.Duration
		high  bool
		reads int
	}{
		{"room left", 90, 0, false, 1},
		{"not looked at so soon again", 110, time.Second / 2, false, 1},
		{"over", 110, time.Second, true, 2},
		{"freed", 100, time.Second, false, 3},
	} {
		have, at = tc.have, at.Add(tc.after)
		if got := g.High(); got != tc.high || reads != tc.reads {
			t.Errorf("%s: high %v after %d looks", tc.name, got, reads)
		}
	}
	if real := New(1, time.Second); !real.High() || real.Held() < 1<<16 {
		t.Errorf("this process holds %d bytes", real.Held())
	}
}
