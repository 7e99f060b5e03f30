// Package audit is the record of who did what and what the service decided: entries
// in blocks, each block sealed under the operator's key and holding the digest of the
// one before, so that every change, gap or disorder shows. The package is pure; who
// decides something writes its block in the same transaction.
package audit

import (
	"fmt"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
)

// Act is what an entry tells. The numbers are stored: never change one.
type Act byte

// Acts. Of those marked (*) the Who is a person or service, of the others it is the
// service itself.
const (
	Accepted  Act = iota + 1 // (*) On: the job
	Withdrawn                // (*) On: the job. Why: a job it needs, if that was withdrawn and nobody asked for this one
	Refused                  // (*) On: the job. Why: the rule
	Claimed                  // On: the job, Tasks: where
	Lost                     // On: the job, Tasks: freed without being done. Why: the proof that they are gone
	Stopped                  // On: the job, Tasks: told to stop. Why: the rule, For: the job that gets the room
	Done                     // On: the job
	Returned                 // On: a machine. Why: the reason
	TookOver                 // On: the controller that leads from here on, Why: its epoch
	Unsealed                 // On: what was found stored without a seal that holds
	Issued                   // (*) On: an identity or token
	Revoked                  // (*) On: an identity or token
	Missed                   // Why: how many entries there was no room for
	Trimmed                  // On: the last block that was removed after its export
)

var acts = [...]string{
	Accepted: "accepted", Withdrawn: "withdrawn", Refused: "refused", Claimed: "claimed",
	Lost: "lost", Stopped: "stopped", Done: "done", Returned: "returned", TookOver: "took over",
	Unsealed: "unsealed", Issued: "issued", Revoked: "revoked", Missed: "missed", Trimmed: "trimmed",
}

// String names the act.
func (a Act) String() string {
	if int(a) < len(acts) && acts[a] != "" {
		return acts[a]
	}
	return fmt.Sprintf("act %d", byte(a))
}

// Entry is one thing that was done or decided.
type Entry struct {
	At    time.Time // to the millisecond, by the clock of who noted it
	Act   Act
	Who   string // identity; "" is the service itself
	Via   string // the controller that was asked
	On    string // what it was done to
	For   string
	Why   string
	Owner string // of the job
	Rank  string // that was asked for
	Tasks []Task // of the job; of an acceptance, Index of the only one is how many
}

// Task is one task of an entry's job.
type Task struct {
	Index int
	Try   uint64
	Host  string
}

// words gives strings numbers as they come up, so that each is written once.
type words struct {
	m    map[string]uint64
	list []string
}

func (w *words) put(e *codec.Encoder, s string) {
	if s == "" {
		e.Uint(0)
		return
	}
	if n, ok := w.m[s]; ok {
		e.Uint(n)
		return
	}
	if w.m == nil {
		w.m = make(map[string]uint64)
	}
	n := uint64(len(w.m) + 1)
	w.m[s] = n
	e.Uint(n)
	e.Str(s)
}

func (w *words) take(d *codec.Decoder) (string, bool) {
	n := d.Uint()
	switch {
	case n == 0:
		return "", true
	case n <= uint64(len(w.list)):
		return w.list[n-1], true
	case n == uint64(len(w.list)+1):
		s := d.Str()
		w.list = append(w.list, s)
		return s, s != ""
	}
	return "", false
}

// encode appends entries. Times are written as differences, task numbers too.
func encode(entries []Entry) []byte {
	var e codec.Encoder
	var w words
	e.Uint(uint64(len(entries)))
	last := int64(0)
	for i := range entries {
		n := &entries[i]
		e.Uint(uint64(n.Act))
		ms := n.At.UnixMilli()
		e.Int(ms - last)
		last = ms
		for _, s := range n.strings() {
			w.put(&e, *s)
		}
		e.Uint(uint64(len(n.Tasks)))
		at := 0
		for _, t := range n.Tasks {
			e.Int(int64(t.Index - at))
			at = t.Index
			e.Uint(t.Try)
			w.put(&e, t.Host)
		}
	}
	return e.B
}

func (e *Entry) strings() [7]*string {
	return [7]*string{&e.Who, &e.Via, &e.On, &e.For, &e.Why, &e.Owner, &e.Rank}
}

func decode(b []byte) ([]Entry, error) {
	d := codec.Decoder{B: b}
	var w words
	var out []Entry
	last := int64(0)
	for range d.Items() {
		var n Entry
		act := d.Uint()
		last += d.Int()
		n.Act, n.At = Act(act), time.UnixMilli(last)
		sound := act != 0 && act <= 0xff
		for _, s := range n.strings() {
			var ok bool
			*s, ok = w.take(&d)
			sound = sound && ok
		}
		at := int64(0)
		for range d.Items() {
			at += d.Int()
			t := Task{Index: int(at), Try: d.Uint()}
			var ok bool
			t.Host, ok = w.take(&d)
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
func Size(entries []Entry) int { return ValueLen(len(pack(encode(entries)))) }

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
		return [][]Entry{{{At: one.At, Act: Missed, Why: "1"}}}
	}
	one.Tasks, two.Tasks = one.Tasks[:n/2], two.Tasks[n/2:]
	return append(Split([]Entry{one}, limit), Split([]Entry{two}, limit)...)
}

// Accepting is the entry of a submission, as its record has it. A record without a
// seal that holds was stored by a controller that keeps no audit record, or by nobody
// who may: the entry says so.
func Accepting(ring *keyring.Ring, rec ledger.JobRecord) Entry {
	j := &rec.Job
	e := Entry{
		At: time.UnixMilli(rec.SubmittedMS), Act: Accepted, On: j.ID, Owner: j.Team, Rank: j.Priority,
		Tasks: []Task{{Index: j.TaskCount}},
	}
	if o := rec.Origin; o != nil {
		e.Who, e.Via, e.Why = o.Submitter, o.Controller, o.Rule
	}
	if err := rec.Verify(ring); err != nil {
		e.Act, e.Why = Unsealed, err.Error()
	}
	return e
}
