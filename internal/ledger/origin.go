package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Origin says who submitted a job and why that was allowed. It is stored with the job, in the
// same transaction, under a seal of the controller that accepted it. Versions before 0.4
// neither write nor check it.
type Origin struct {
	Submitter  string `json:"who,omitempty"`  // "" where identities are off, or anonymous
	Controller string `json:"via"`            // that accepted the job
	Rule       string `json:"rule,omitempty"` // of the policy that allowed it
	// MaxPriority is the highest priority that the job may inherit; "" for any.
	MaxPriority string `json:"cap,omitempty"`
	KeyID       uint32 `json:"key,omitempty"` // of the seal
	Seal        []byte `json:"seal,omitempty"`
}

// ErrInvalidSeal reports that the seal of a job record is missing or not of its content. Audit
// entries store this text, and that of Verify's other errors: it must not change.
var ErrInvalidSeal = errors.New("ledger: the record's seal does not hold")

// Sign seals a record together with its origin.
func (r *JobRecord) Sign(ring *keyring.Ring) error {
	r.Origin.KeyID, r.Origin.Seal = ring.Newest(), nil
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	seal, err := ring.Seal(r.Origin.KeyID, keyring.ForPendingEntries, data)
	r.Origin.Seal = seal[:]
	return err
}

// Verify checks a record's seal. It is made over the record as this version writes it, not
// over the text as stored, which the key-value store may reformat.
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
