package dataloss

import (
	"encoding/json"
	"testing"

	"rillflow/internal/wire"
)

// keyValues returns stored keys from pairs of key and value, with increasing mod revisions.
func keyValues(pairs ...string) []wire.KeyValue {
	var items []wire.KeyValue
	for i := 0; i < len(pairs); i += 2 {
		items = append(items, wire.KeyValue{
			Key: pairs[i], Value: json.RawMessage(pairs[i+1]), ModRevision: uint64(i + 3),
		})
	}
	return items
}

const (
	complete   = `{"phase":"whole","epoch":4}`
	recovering = `{"phase":"rebuild","lost":true,"epoch":7}`
)

// The stored keys, some of them damaged, determine the current incarnation and its phase.
func TestParseState(t *testing.T) {
	for _, tc := range []struct {
		name       string
		items      []wire.KeyValue
		id         string
		phase      Phase
		dataLost   bool
		superseded int
	}{
		{"none", nil, "", "", false, 0},
		{"in its initial phase", keyValues("history/id/A", recovering), "A", PhaseRecovering, true, 0},
		{"in a later phase", keyValues("history/id/A", recovering, "history/phase", `{"id":"A","phase":"ends"}`),
			"A", PhaseRestoringResults, true, 0},
		{"phase of another incarnation", keyValues("history/id/B", recovering, "history/phase", `{"id":"A","phase":"whole"}`),
			"B", PhaseRecovering, true, 0},
		{"two incarnations: the later one", keyValues("history/id/A", complete, "history/id/B", recovering),
			"B", PhaseRecovering, true, 1},
		{"damaged incarnation record", keyValues("history/id/A", `"rot"`), "A", PhaseRecovering, true, 0},
		{"damaged phase record", keyValues("history/id/A", complete, "history/phase", `7`), "A", PhaseComplete, false, 0},
		{"unrelated key", keyValues("history/else", `1`), "", "", false, 0},
	} {
		state := parseState(tc.items)
		if state.ID != tc.id || state.Phase != tc.phase ||
			state.DataLost != tc.dataLost || len(state.Superseded) != tc.superseded {
			t.Errorf("%s: got %+v, want ID %q, phase %q, data lost %v, %d superseded",
				tc.name, state, tc.id, tc.phase, tc.dataLost, tc.superseded)
		}
	}
}
