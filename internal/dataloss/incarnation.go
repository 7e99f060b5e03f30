package dataloss

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"rillflow/internal/wire"
)

// Keys in the store. Versions before 0.5 neither write nor read them.
const (
	keyPrefix         = "history/"
	incarnationPrefix = "history/id/"
	phaseKey          = "history/phase"
)

// ErrIncarnationReplaced means that the store no longer holds the incarnation in which a
// leader was elected or a request was decided.
var ErrIncarnationReplaced = errors.New("dataloss: store incarnation replaced or lost")

// Phase is the progress of recovery in an incarnation, from which follows whether its data
// can be taken as complete.
type Phase string

// Phases, in the order in which an incarnation passes through them. Their values are stored
// and shown in /operator/status.
const (
	// PhaseProvisional is the first phase of an incarnation that began with an empty store
	// and no known predecessor. Controllers and workers that may know of a predecessor have
	// not all reported yet, so a missing record may have been lost.
	PhaseProvisional Phase = "open"
	// PhaseRecovering means that lost records are being reconstructed. No job is accepted,
	// and status requests are answered only for known results.
	PhaseRecovering Phase = "rebuild"
	// PhaseRestoringResults means that all live jobs are stored again, and that results of
	// ended jobs are still being written.
	PhaseRestoringResults Phase = "ends"
	// PhaseComplete means that a missing record never existed.
	PhaseComplete Phase = "whole"
)

// Incarnation identifies one lifetime of the store's data, from its creation, empty or
// recovered, until data is lost. It is stored under a key of its own, whose name is never
// reused.
type Incarnation struct {
	ID       string
	Revision uint64 // mod revision of its key
	// InitialPhase holds until another phase is stored.
	InitialPhase Phase
	// DataLost means that an earlier incarnation was lost, so that workers may run tasks
	// without a stored record.
	DataLost bool
	// Epoch is the epoch of the leader that created the incarnation. It distinguishes a
	// later incarnation from an earlier one that has reappeared.
	Epoch uint64
}

// incarnationRecord is the stored value of an incarnation's key.
type incarnationRecord struct {
	Phase    Phase  `json:"phase"`
	DataLost bool   `json:"lost,omitempty"`
	Epoch    uint64 `json:"epoch"`
}

// phaseRecord is the stored value of the phase key.
type phaseRecord struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
}

// key returns the key under which the incarnation is stored.
func (i Incarnation) key() string { return incarnationPrefix + i.ID }

// Compare returns the compare that restricts a transaction to this incarnation, or false
// for the zero Incarnation, which has none.
func (i Incarnation) Compare() (wire.Compare, bool) {
	return wire.Compare{Key: i.key(), ModRevision: i.Revision}, i.ID != ""
}

// CreateOperation returns the operation that stores this incarnation's key.
func (i Incarnation) CreateOperation() (wire.Operation, error) {
	record, err := json.Marshal(incarnationRecord{Phase: i.InitialPhase, DataLost: i.DataLost, Epoch: i.Epoch})
	if err != nil {
		return wire.Operation{}, fmt.Errorf("dataloss: encode incarnation %s: %w", i.ID, err)
	}
	return wire.Operation{Put: i.key(), Value: record}, nil
}

// DeleteOperation returns the operation that deletes this incarnation's key.
func (i Incarnation) DeleteOperation() wire.Operation { return wire.Operation{Delete: i.key()} }

// PhaseOperation returns the operation that stores a phase of this incarnation.
func (i Incarnation) PhaseOperation(phase Phase) (wire.Operation, error) {
	record, err := json.Marshal(phaseRecord{ID: i.ID, Phase: phase})
	if err != nil {
		return wire.Operation{}, fmt.Errorf("dataloss: encode phase %s of incarnation %s: %w", phase, i.ID, err)
	}
	return wire.Operation{Put: phaseKey, Value: record}, nil
}

// CompareFailed reports whether the keys of failed compares include an incarnation's key,
// which means that the store no longer holds that incarnation.
func CompareFailed(failed []string) bool {
	for _, key := range failed {
		if strings.HasPrefix(key, incarnationPrefix) {
			return true
		}
	}
	return false
}
