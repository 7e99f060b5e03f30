package main

import (
	"io"
	"testing"
)

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		ok, bad  bool
	}{
		{"all served", `{"site":"s","days":[{"name":"d","served":[["a",0.7,1.0],["team x",1.0,0.5]]}]}`, true, false},
		{"a class under half", `{"days":[{"name":"d","served":[["a",0.7,1.0],["b",0.3,0.49]]}]}`, false, false},
		{"a team under half on the second day", `{"days":[{"name":"d","served":[["a",1,1]]},{"name":"e","served":[["team x",0.1,0]]}]}`, false, false},
		{"nothing told", `{"days":[{"name":"d"}]}`, false, false},
		{"no day", `{"days":[]}`, false, true},
		{"two figures", `{"days":[{"name":"d","served":[["a",0.7]]}]}`, false, true},
		{"not JSON", `{`, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if ok, err := check(io.Discard, []byte(tc.in)); ok != tc.ok || (err != nil) != tc.bad {
				t.Errorf("ok %v, error %v", ok, err)
			}
		})
	}
}
