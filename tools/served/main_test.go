package main

import (
	"io"
	"testing"
)

func TestCheckFailsBelowMinServedShare(t *testing.T) {
	for _, tc := range []struct {
		name, entry         string
		wantPass, wantError bool
	}{
		{"all served", `{"site":"s","days":[{"name":"d","served":[["a",0.7,1.0],["team x",1.0,0.5]]}]}`, true, false},
		{"class below half", `{"days":[{"name":"d","served":[["a",0.7,1.0],["b",0.3,0.49]]}]}`, false, false},
		{"team below half on the second day", `{"days":[{"name":"d","served":[["a",1,1]]},{"name":"e","served":[["team x",0.1,0]]}]}`, false, false},
		{"day without served shares", `{"days":[{"name":"d"}]}`, false, false},
		{"no days", `{"days":[]}`, false, true},
		{"two values instead of three", `{"days":[{"name":"d","served":[["a",0.7]]}]}`, false, true},
		{"not JSON", `{`, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if passed, err := check(io.Discard, []byte(tc.entry)); passed != tc.wantPass || (err != nil) != tc.wantError {
				t.Errorf("got passed %v, error %v; want passed %v, an error %v", passed, err, tc.wantPass, tc.wantError)
			}
		})
	}
}
