// Package audit is the log of who did what and what the service decided: entries in
// blocks, each block sealed under the operator's key and holding the digest of the one
// before, so that every change, gap or disorder shows.
//
// The package owns the formats of blocks, pending entries and exported segments, and no
// state. The leader writes blocks, each in the transaction of what it tells; other
// controllers leave pending entries for it; cmd/rillflow reads, verifies, exports and
// trims. It must not decide what is told, nor write by itself but to trim.
package audit

import (
	"fmt"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
)

// Action is what an entry tells. The numbers are stored: never change one.
type Action byte

// Actions. Of those marked (*) the Actor is a person or service, of the others it is the
// service itself. What the other fields hold is said beside each.
const (
	Accepted  Action = iota + 1 // (*) Subject: the job
	Cancelled                   // (*) Subject: the job. Reason: the cancelled job it depends on, if any
	Refused                     // (*) Subject: the job. Reason: the rule
	Claimed                     // Subject: the job, Tasks: where
	Freed                       // Subject: the job, Tasks: freed without being done. Reason: the proof that they are gone
	Stopped                     // Subject: the job, Tasks: told to stop. Reason: the rule, Purpose: for which job
	Done                        // Subject: the job
	Released                    // Subject: a worker. Reason: the reason
	TookOver                    // Subject: the controller that leads from here on, Reason: its epoch
	Unsealed                    // Subject: what was found stored without a seal that holds
	Issued                      // (*) Subject: an identity or token
	Revoked                     // (*) Subject: an identity or token
	Missed                      // Reason: how many entries there was no room for
	Trimmed                     // Subject: the last block that was removed after its export
)

var actionNames = [...]string{
	Accepted: "accepted", Cancelled: "withdrawn", Refused: "refused", Claimed: "claimed",
	Freed: "lost", Stopped: "stopped", Done: "done", Released: "returned", TookOver: "took over",
	Unsealed: "unsealed", Issued: "issued", Revoked: "revoked", Missed: "missed", Trimmed: "trimmed",
}

// String names the action.
func (a Action) String() string {
	if int(a) < len(actionNames) && actionNames[a] != "" {
		return actionNames[a]
	}
	return fmt.Sprintf("act %d", byte(a))
}

// Entry is one thing that was done or decided.
type Entry struct {
	At         time.Time // to the millisecond, by the clock of who noted it
	Action     Action
	Actor      string // identity; "" is the service itself
	Controller string // the controller that was asked
	Subject    string // what it was done to
	Purpose    string
	Reason     string
	Team       string // of the job
	Priority   string // that was asked for
	Tasks      []Task // of the job; of an acceptance, Index of the only one is how many
}

// Task is one task of an entry's job.
type Task struct {
	Index   int
	Attempt uint64
	Worker  string
}

// stringTable gives strings numbers as they come up, so that each is written once.
type stringTable struct {
	indexes map[string]uint64
	strings []string
}

func (table *stringTable) encode(e *codec.Encoder, s string) {
	if s == "" {
		e.Uint(0)
		return
	}
	if n, ok := table.indexes[s]; ok {
		e.Uint(n)
		return
	}
	if table.indexes == nil {
		table.indexes = make(map[string]uint64)
	}
	n := uint64(len(table.indexes) + 1)
	table.indexes[s] = n
	e.Uint(n)
	e.Str(s)
}

func (table *stringTable) decode(d *codec.Decoder) (string, bool) {
	n := d.Uint()
	switch {
	case n == 0:
		return "", true
	case n <= uint64(len(table.strings)):
		return table.strings[n-1], true
	case n == uint64(len(table.strings)+1):
		s := d.Str()
		table.strings = append(table.strings, s)
		return s, s != ""
	}
	return "", false
}

// encode appends entries. Times are written as differences, task numbers too.
func encode(entries []Entry) []byte {
	var e codec.Encoder
	var w stringTable
	e.Uint(uint64(len(entries)))
	last := int64(0)
	for i := range entries {
		n := &entries[i]
		e.Uint(uint64(n.Action))
		ms := n.At.UnixMilli()
		e.Int(ms - last)
		last = ms
		for _, s := range n.strings() {
			w.encode(&e, *s)
		}
		e.Uint(uint64(len(n.Tasks)))
		at := 0
		for _, t := range n.Tasks {
			e.Int(int64(t.Index - at))
			at = t.Index
			e.Uint(t.Attempt)
			w.encode(&e, t.Worker)
		}
	}
	return e.B
}

func (entry *Entry) strings() [7]*string {
	return [7]*string{
		&entry.Actor, &entry.Controller, &entry.Subject, &entry.Purpose, &entry.Reason, &entry.Team, &entry.Priority,
	}
}

func decode(b []byte) ([]Entry, error) {
	d := codec.Decoder{B: b}
	var w stringTable
	var out []Entry
	last := int64(0)
	for range d.Items() {
		var n Entry
		act := d.Uint()
		last += d.Int()
		n.Action, n.At = Action(act), time.UnixMilli(last)
		sound := act != 0 && act <= 0xff
		for _, s := range n.strings() {
			var ok bool
			*s, ok = w.decode(&d)
			sound = sound && ok
		}
		at := int64(0)
		for range d.Items() {
			at += d.Int()
			t := Task{Index: int(at), Attempt: d.Uint()}
			var ok bool
			t.Worker, ok = w.decode(&d)
			sound = sound && ok
			n.Tasks = append(n.Tasks, t)
		}
		if !sound {
			return nil, fmt.Errorf("audit: entry %d: %w", len(out), codec.ErrFormat)
		}
		out = append(out, n)
	}
	if err := d.Done(); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	return out, nil
}

// Size is about how many bytes of a value entries take in a block.
func Size(entries []Entry) int { return ValueLen(len(compress(encode(entries)))) }

// Split parts entries so that each part takes at most so many bytes of a value. An
// entry of many tasks is parted too; one that cannot be is told as missed.
func Split(entries []Entry, limit int) [][]Entry {
	if len(entries) == 0 {
		return nil
	}
	if Size(entries) <= limit {
		return [][]Entry{entries}
	}
	if n := len(entries); n > 1 {
		return append(Split(entries[:n/2], limit), Split(entries[n/2:], limit)...)
	}
	one, two := entries[0], entries[0]
	n := len(one.Tasks)
	if n < 2 {
		return [][]Entry{{{At: one.At, Action: Missed, Reason: "1"}}}
	}
	one.Tasks, two.Tasks = one.Tasks[:n/2], two.Tasks[n/2:]
	return append(Split([]Entry{one}, limit), Split([]Entry{two}, limit)...)
}

// AcceptedEntry is the entry of a submission, as the job's record has it. A record without a
// seal that holds was stored by a controller that keeps no audit log, or by nobody
// who may: the entry says so.
func AcceptedEntry(ring *keyring.Ring, rec ledger.JobRecord) Entry {
	j := &rec.Job
	e := Entry{
		At: time.UnixMilli(rec.SubmittedMS), Action: Accepted, Subject: j.ID, Team: j.Team, Priority: j.Priority,
		Tasks: []Task{{Index: j.TaskCount}},
	}
	if o := rec.Origin; o != nil {
		e.Actor, e.Controller, e.Reason = o.Submitter, o.Controller, o.Rule
	}
	if err := rec.Verify(ring); err != nil {
		e.Action, e.Reason = Unsealed, err.Error()
	}
	return e
}
