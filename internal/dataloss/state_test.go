package dataloss

import (
	"encoding/json"
	"testing"

	"rillflow/internal/wire"
)

// keyValues returns stored keys from pairs of key and value, with rising mod revisions.
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

// What is stored tells which incarnation it is, and how much of the truth it holds.
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
		{"as it began", keyValues("history/id/A", recovering), "A", PhaseRecovering, true, 0},
		{"advanced", keyValues("history/id/A", recovering, "history/phase", `{"id":"A","phase":"ends"}`),
			"A", PhaseRestoringResults, true, 0},
		{"a phase of another", keyValues("history/id/B", recovering, "history/phase", `{"id":"A","phase":"whole"}`),
			"B", PhaseRecovering, true, 0},
		{"two, the later one", keyValues("history/id/A", complete, "history/id/B", recovering),
			"B", PhaseRecovering, true, 1},
		{"damaged: nothing is sure", keyValues("history/id/A", `"rot"`), "A", PhaseRecovering, true, 0},
		{"a damaged phase", keyValues("history/id/A", complete, "history/phase", `7`), "A", PhaseComplete, false, 0},
		{"an unrelated key", keyValues("history/else", `1`), "", "", false, 0},
	} {
		state := parseState(tc.items)
		if state.ID != tc.id || state.Phase != tc.phase ||
			state.DataLost != tc.dataLost || len(state.Superseded) != tc.superseded {
			t.Errorf("%s: %+v", tc.name, state)
		}
	}
}
