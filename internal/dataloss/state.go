package dataloss

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// IncarnationState is the current incarnation as stored, or the zero value if there is none.
type IncarnationState struct {
	Incarnation
	Phase Phase
	// Superseded are earlier incarnations whose keys are still stored.
	Superseded []Incarnation
}

// Read reads the current incarnation from the store.
func Read(ctx context.Context, store *kvstore.Client) (IncarnationState, error) {
	items, _, err := store.List(ctx, keyPrefix)
	if err != nil {
		return IncarnationState{}, fmt.Errorf("dataloss: list %s: %w", keyPrefix, err)
	}
	return parseState(items), nil
}

// parseState determines the current incarnation from the stored keys: the one stored last.
// Damaged records cause no error, since they are signs of data loss themselves.
func parseState(items []wire.KeyValue) IncarnationState {
	var state IncarnationState
	var phase phaseRecord
	for _, item := range items {
		if item.Key == phaseKey {
			phase = parsePhase(item)
			continue
		}
		incarnation, ok := parseIncarnation(item)
		switch {
		case !ok:
		case state.ID == "":
			state.Incarnation = incarnation
		case state.Revision > incarnation.Revision:
			state.Superseded = append(state.Superseded, incarnation)
		default:
			state.Superseded = append(state.Superseded, state.Incarnation)
			state.Incarnation = incarnation
		}
	}
	state.Phase = state.InitialPhase
	if state.ID != "" && phase.ID == state.ID {
		state.Phase = phase.Phase
	}
	return state
}

// parsePhase decodes the value of the phase key. A damaged value yields the zero record,
// which belongs to no incarnation.
func parsePhase(item wire.KeyValue) phaseRecord {
	var record phaseRecord
	if json.Unmarshal(item.Value, &record) != nil {
		return phaseRecord{}
	}
	return record
}

// parseIncarnation decodes the key and value of an incarnation. It returns false for other
// keys.
func parseIncarnation(item wire.KeyValue) (Incarnation, bool) {
	id, ok := strings.CutPrefix(item.Key, incarnationPrefix)
	if !ok {
		return Incarnation{}, false
	}
	var record incarnationRecord
	if json.Unmarshal(item.Value, &record) != nil {
		// The record is damaged: assume that data was lost and is being recovered.
		record = incarnationRecord{Phase: PhaseRecovering, DataLost: true}
	}
	return Incarnation{
		ID:           id,
		Revision:     item.ModRevision,
		InitialPhase: record.Phase,
		DataLost:     record.DataLost,
		Epoch:        record.Epoch,
	}, true
}
