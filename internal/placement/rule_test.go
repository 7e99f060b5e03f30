package placement

import (
	"testing"
	"time"
)

func TestSelectQueue(t *testing.T) {
	const aged = 30 * time.Second
	for _, tc := range []struct {
		name  string
		heads []QueueHead
		want  int
	}{
		{"no heads", nil, -1},
		{"greatest weight", []QueueHead{{Type: "a", Weight: 1}, {Type: "b", Weight: 2}}, 1},
		{"equal weights: by name", []QueueHead{{Type: "b", Weight: 1}, {Type: "a", Weight: 1}}, 1},
		{"tier before weight", []QueueHead{{Type: "a", Tier: 1, Weight: 9}, {Type: "b", Tier: 0, Weight: 1}}, 1},
		{"past the aging threshold first", []QueueHead{{Type: "a", Weight: 9}, {Type: "b", Weight: 1, Age: aged}}, 1},
		{"longest waiting of the aged first",
			[]QueueHead{{Type: "a", Weight: 9, Age: aged}, {Type: "b", Age: 2 * aged}}, 1},
		{"age does not override the tier", []QueueHead{{Type: "a", Tier: 1, Age: 9 * aged}, {Type: "b"}}, 1},
		{"image breaks a near tie", []QueueHead{{Type: "a", Weight: 10}, {Type: "b", Weight: 9.5, HasImage: true}}, 1},
		{"image does not decide beyond a near tie",
			[]QueueHead{{Type: "a", Weight: 10}, {Type: "b", Weight: 8, HasImage: true}}, 0},
		{"image does not override the tier",
			[]QueueHead{{Type: "a", Weight: 10}, {Type: "b", Tier: 1, Weight: 10, HasImage: true}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := SelectQueue(tc.heads, aged, 0.1); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
