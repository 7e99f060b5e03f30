// Package audit implements the audit log of user actions and of decisions of the service.
// Its entries are stored in a chain of blocks. Each block is sealed under the operator's
// key and contains the digest of the previous block, so that any modified, missing or
// reordered block is detected.
//
// The package defines the formats of blocks, pending entries and exported segments, and
// keeps no state. The leader writes each block in the same transaction as the changes that
// the block records; other controllers store pending entries, which the leader moves into
// the chain; cmd/rillflow reads, verifies, exports and trims the log. The package must not
// decide what is recorded, and writes to the store only to trim.
package audit

import (
	"fmt"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
)

// Action is the kind of event that an entry records. The numbers are stored and must never
// change.
type Action byte

// Actions, and the fields that their entries use. The Actor of those marked (*) is a person
// or service; all others are actions of the controllers themselves.
const (
	Accepted  Action = iota + 1 // (*) Subject: the job
	Cancelled                   // (*) Subject: the job. Reason: the cancelled job it depends on, if any
	Refused                     // (*) Subject: the job. Reason: the rule, Purpose: the refused operation
	Claimed                     // Subject: the job, Tasks: its claimed tasks and their workers
	Freed                       // Subject: the job, Tasks: freed, not done. Reason: the proof that they no longer run
	Stopped                     // Subject: the job, Tasks: to stop. Reason: the rule, Purpose: the preempting job, if any
	Done                        // Subject: the job
	Released                    // Subject: a worker. Reason: why it was released
	TookOver                    // Subject: the new leader, Reason: its epoch
	Unsealed                    // Subject: the job or store key whose record has no valid seal
	Issued                      // (*) Subject: an identity or token
	Revoked                     // (*) Subject: an identity or token
	Missed                      // Reason: the number of entries dropped for lack of room
	Trimmed                     // Subject: the head of the blocks that were exported and removed
)

var actionNames = [...]string{
	Accepted: "accepted", Cancelled: "withdrawn", Refused: "refused", Claimed: "claimed",
	Freed: "lost", Stopped: "stopped", Done: "done", Released: "returned", TookOver: "took over",
	Unsealed: "unsealed", Issued: "issued", Revoked: "revoked", Missed: "missed", Trimmed: "trimmed",
}

// String returns the action's name.
func (a Action) String() string {
	if int(a) < len(actionNames) && actionNames[a] != "" {
		return actionNames[a]
	}
	return fmt.Sprintf("act %d", byte(a))
}

// Entry records one action.
type Entry struct {
	At         time.Time // with millisecond precision, by the clock of the recording controller
	Action     Action
	Actor      string // identity; "" for the service itself or an anonymous user
	Controller string // the controller that received the request
	Subject    string // job, worker, identity or other object of the action
	Purpose    string // what the action served, see the comments of the actions
	Reason     string
	Team       string // of the job
	Priority   string // priority requested
	Tasks      []Task // tasks of the job; in an Accepted entry one element, whose Index is the task count
}

// Task identifies an attempt of a task, and its worker.
type Task struct {
	Index   int
	Attempt uint64
	Worker  string
}

// stringTable numbers strings in the order of their first use, so that each is encoded in
// full only once.
type stringTable struct {
	indexes map[string]uint64
	strings []string
}

func (table *stringTable) encode(encoder *codec.Encoder, s string) {
	if s == "" {
		encoder.Uint(0)
		return
	}
	if n, ok := table.indexes[s]; ok {
		encoder.Uint(n)
		return
	}
	if table.indexes == nil {
		table.indexes = make(map[string]uint64)
	}
	n := uint64(len(table.indexes) + 1)
	table.indexes[s] = n
	encoder.Uint(n)
	encoder.Str(s)
}

func (table *stringTable) decode(decoder *codec.Decoder) (string, bool) {
	n := decoder.Uint()
	switch {
	case n == 0:
		return "", true
	case n <= uint64(len(table.strings)):
		return table.strings[n-1], true
	case n == uint64(len(table.strings)+1):
		s := decoder.Str()
		table.strings = append(table.strings, s)
		return s, s != ""
	}
	return "", false
}

// encodeEntries encodes entries. Times and task indexes are written as differences from the
// previous one.
func encodeEntries(entries []Entry) []byte {
	var encoder codec.Encoder
	var table stringTable
	encoder.Uint(uint64(len(entries)))
	lastMS := int64(0)
	for i := range entries {
		entry := &entries[i]
		encoder.Uint(uint64(entry.Action))
		ms := entry.At.UnixMilli()
		encoder.Int(ms - lastMS)
		lastMS = ms
		for _, s := range entry.strings() {
			table.encode(&encoder, *s)
		}
		encoder.Uint(uint64(len(entry.Tasks)))
		lastIndex := 0
		for _, task := range entry.Tasks {
			encoder.Int(int64(task.Index - lastIndex))
			lastIndex = task.Index
			encoder.Uint(task.Attempt)
			table.encode(&encoder, task.Worker)
		}
	}
	return encoder.B
}

// strings returns the string fields in the order in which they are encoded.
func (entry *Entry) strings() [7]*string {
	return [7]*string{
		&entry.Actor, &entry.Controller, &entry.Subject, &entry.Purpose, &entry.Reason, &entry.Team, &entry.Priority,
	}
}

func decodeEntries(b []byte) ([]Entry, error) {
	decoder := codec.Decoder{B: b}
	var table stringTable
	var entries []Entry
	lastMS := int64(0)
	for range decoder.Items() {
		var entry Entry
		action := decoder.Uint()
		lastMS += decoder.Int()
		entry.Action, entry.At = Action(action), time.UnixMilli(lastMS)
		valid := action != 0 && action <= 0xff
		for _, s := range entry.strings() {
			var ok bool
			*s, ok = table.decode(&decoder)
			valid = valid && ok
		}
		lastIndex := int64(0)
		for range decoder.Items() {
			lastIndex += decoder.Int()
			task := Task{Index: int(lastIndex), Attempt: decoder.Uint()}
			var ok bool
			task.Worker, ok = table.decode(&decoder)
			valid = valid && ok
			entry.Tasks = append(entry.Tasks, task)
		}
		if !valid {
			return nil, fmt.Errorf("audit: entry %d: %w", len(entries), codec.ErrFormat)
		}
		entries = append(entries, entry)
	}
	if err := decoder.Done(); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	return entries, nil
}

// EstimateSize estimates the length of the store's value for a block of the given entries.
func EstimateSize(entries []Entry) int { return EncodedValueLen(len(compress(encodeEntries(entries)))) }

// Split divides entries into parts of at most limit bytes of a store's value each. An entry
// with many tasks is divided too; one that is too large with a single task is replaced by a
// Missed entry.
func Split(entries []Entry, limit int) [][]Entry {
	if len(entries) == 0 {
		return nil
	}
	if EstimateSize(entries) <= limit {
		return [][]Entry{entries}
	}
	if n := len(entries); n > 1 {
		return append(Split(entries[:n/2], limit), Split(entries[n/2:], limit)...)
	}
	first, second := entries[0], entries[0]
	n := len(first.Tasks)
	if n < 2 {
		return [][]Entry{{{At: first.At, Action: Missed, Reason: "1"}}}
	}
	first.Tasks, second.Tasks = first.Tasks[:n/2], second.Tasks[n/2:]
	return append(Split([]Entry{first}, limit), Split([]Entry{second}, limit)...)
}

// AcceptedEntry returns the entry of a job's submission, built from the job's record. If the
// record has no valid seal, it was stored by a controller without an audit log or by someone
// without the key; the entry's action is then Unsealed.
func AcceptedEntry(ring *keyring.Ring, record ledger.JobRecord) Entry {
	job := &record.Job
	entry := Entry{
		At: time.UnixMilli(record.SubmittedMS), Action: Accepted, Subject: job.ID, Team: job.Team, Priority: job.Priority,
		Tasks: []Task{{Index: job.TaskCount}},
	}
	if origin := record.Origin; origin != nil {
		entry.Actor, entry.Controller, entry.Reason = origin.Submitter, origin.Controller, origin.Rule
	}
	if err := record.Verify(ring); err != nil {
		entry.Action, entry.Reason = Unsealed, err.Error()
	}
	return entry
}
