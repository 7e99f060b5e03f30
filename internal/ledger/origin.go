package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Origin says who submitted a job and why that was allowed. It is stored with the
// job, in the same change, under a seal of the controller that accepted it. Versions
// before 0.4 neither write nor heed it.
type Origin struct {
	Who  string `json:"who,omitempty"` // "" where identities are off, or anonymous
	Via  string `json:"via"`           // the controller
	Rule string `json:"rule,omitempty"`
	// Cap is the highest rank that the job may have by what needs it; "" for any.
	Cap  string `json:"cap,omitempty"`
	Key  uint32 `json:"key,omitempty"`
	Seal []byte `json:"seal,omitempty"`
}

// ErrSeal: a record's origin does not hold.
var ErrSeal = errors.New("ledger: the record's seal does not hold")

// Sign seals a record together with its origin.
func (r *Record) Sign(ring *keyring.Ring) error {
	r.Origin.Key, r.Origin.Seal = ring.Newest(), nil
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	seal, err := ring.Seal(r.Origin.Key, keyring.ForNotes, data)
	r.Origin.Seal = seal[:]
	return err
}

// Verify checks a record's seal. It is made over the record as this version writes
// it, not over the text as stored, which the state service may set anew.
func (r Record) Verify(ring *keyring.Ring) error {
	if r.Origin == nil {
		return ErrSeal
	}
	o := *r.Origin
	seal := o.Seal
	o.Seal = nil
	r.Origin = &o
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	ok, err := ring.Check(o.Key, keyring.ForNotes, seal, data)
	if err == nil && !ok {
		err = ErrSeal
	}
	return err
}
