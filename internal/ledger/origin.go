package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Origin records who submitted a job and which rule allowed it. It is stored with the job, in the
// same transaction, and sealed by the controller that accepted the job. Versions before 0.4
// neither write nor check it.
type Origin struct {
	Submitter  string `json:"who,omitempty"`  // "" if identities are off or the user is anonymous
	Controller string `json:"via"`            // the controller that accepted the job
	Rule       string `json:"rule,omitempty"` // the rule of the policy that allowed it
	// MaxPriority is the highest priority that the job may inherit; "" means any.
	MaxPriority string `json:"cap,omitempty"`
	KeyID       uint32 `json:"key,omitempty"` // the key of the seal
	Seal        []byte `json:"seal,omitempty"`
}

// ErrInvalidSeal reports that the seal of a job record is missing or does not match the record.
// Audit entries store its text and that of Verify's other errors, so the texts must not change.
var ErrInvalidSeal = errors.New("ledger: the record's seal does not hold")

// Sign seals a record, including its origin.
func (r *JobRecord) Sign(ring *keyring.Ring) error {
	r.Origin.KeyID, r.Origin.Seal = ring.ActiveKeyID(), nil
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	seal, err := ring.Seal(r.Origin.KeyID, keyring.ForPendingEntries, data)
	r.Origin.Seal = seal[:]
	return err
}

// Verify checks a record's seal. The seal covers the record as this version encodes it, not the
// stored bytes, which the key-value store may reformat.
func (r JobRecord) Verify(ring *keyring.Ring) error {
	if r.Origin == nil {
		return ErrInvalidSeal
	}
	origin := *r.Origin
	seal := origin.Seal
	origin.Seal = nil
	r.Origin = &origin
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	ok, err := ring.Check(origin.KeyID, keyring.ForPendingEntries, seal, data)
	if err == nil && !ok {
		err = ErrInvalidSeal
	}
	return err
}
