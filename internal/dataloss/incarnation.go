package dataloss

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"rillflow/internal/wire"
)

// Keys of the store. Versions before 0.5 neither write nor read them.
const (
	keyPrefix         = "history/"
	incarnationPrefix = "history/id/"
	phaseKey          = "history/phase"
)

// ErrIncarnationReplaced says that the store no longer holds the incarnation that a
// leadership or a request was decided under.
var ErrIncarnationReplaced = errors.New("dataloss: store incarnation replaced or lost")

// Phase says how much of the truth an incarnation holds while lost data is recovered.
type Phase string

// The phases, which an incarnation passes through in this order. Their spelling is stored
// and shown in /operator/status.
const (
	// PhaseProvisional is the first phase of an incarnation that began with an empty store
	// and nobody who knew of an earlier one: not every controller and worker that might
	// know has been heard, so what is not stored may have been lost.
	PhaseProvisional Phase = "open"
	// PhaseRecovering means that lost data is being put together. No job is accepted, and
	// nothing is said of jobs but results that are known.
	PhaseRecovering Phase = "rebuild"
	// PhaseRestoringResults means that every live job is stored again, and results of
	// finished jobs are still being written.
	PhaseRestoringResults Phase = "ends"
	// PhaseComplete means that what is not stored never was.
	PhaseComplete Phase = "whole"
)

// Incarnation identifies one life of the store's data: from its beginning, empty or
// recovered, until data is lost. It is stored under a key of its own, whose name is never
// used twice.
type Incarnation struct {
	ID       string
	Revision uint64 // mod revision of its key
	// InitialPhase holds until another phase is stored.
	InitialPhase Phase
	// DataLost says that an earlier incarnation was lost, so that workers may run tasks of
	// which nothing is stored.
	DataLost bool
	// Epoch is that of the leader that began it. It tells a later incarnation from an
	// earlier one that came back.
	Epoch uint64
}

// incarnationRecord is what an incarnation's key holds.
type incarnationRecord struct {
	Phase    Phase  `json:"phase"`
	DataLost bool   `json:"lost,omitempty"`
	Epoch    uint64 `json:"epoch"`
}

// phaseRecord is what the phase key holds.
type phaseRecord struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
}

// key returns the key that the incarnation is stored under.
func (i Incarnation) key() string { return incarnationPrefix + i.ID }

// Compare returns the condition that a write belongs to this incarnation. The zero
// Incarnation has none, and false is returned.
func (i Incarnation) Compare() (wire.Compare, bool) {
	return wire.Compare{Key: i.key(), ModRevision: i.Revision}, i.ID != ""
}

// CreateOperation returns the operation that begins this incarnation.
func (i Incarnation) CreateOperation() (wire.Operation, error) {
	record, err := json.Marshal(incarnationRecord{Phase: i.InitialPhase, DataLost: i.DataLost, Epoch: i.Epoch})
	if err != nil {
		return wire.Operation{}, fmt.Errorf("dataloss: encode incarnation %s: %w", i.ID, err)
	}
	return wire.Operation{Put: i.key(), Value: record}, nil
}

// DeleteOperation returns the operation that ends this incarnation.
func (i Incarnation) DeleteOperation() wire.Operation { return wire.Operation{Delete: i.key()} }

// PhaseOperation returns the operation that takes this incarnation to a phase.
func (i Incarnation) PhaseOperation(phase Phase) (wire.Operation, error) {
	record, err := json.Marshal(phaseRecord{ID: i.ID, Phase: phase})
	if err != nil {
		return wire.Operation{}, fmt.Errorf("dataloss: encode phase %s of incarnation %s: %w", phase, i.ID, err)
	}
	return wire.Operation{Put: phaseKey, Value: record}, nil
}

// CompareFailed reports whether the keys of failed compares contain that of an incarnation,
// so that the store holds another one.
func CompareFailed(failed []string) bool {
	for _, key := range failed {
		if strings.HasPrefix(key, incarnationPrefix) {
			return true
		}
	}
	return false
}
