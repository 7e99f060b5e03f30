package audit

import (
	"fmt"
)

// JobHistory collects the audit log's entries of one job.
type JobHistory struct {
	Job       string
	Accepted  *Entry
	Cancelled *Entry
	Done      *Entry
	Refused   []Entry
	Entries   []Entry        // all entries of the job, in the order of the log
	claims    map[int]Task   // current claims, by task index
	lastFreed map[int]uint64 // the last attempt that was freed, by task index
	Faults    []string       // events that contradict the service's own rules
}

// History groups the log's entries by job.
type History struct {
	Jobs    map[string]*JobHistory
	Others  []Entry // entries about workers, controllers and identities
	Entries int
	Missed  int // number of Missed entries, which stand for dropped ones
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Jobs: make(map[string]*JobHistory)} }

// Add adds the next entry of the log.
func (history *History) Add(entry Entry) {
	history.Entries++
	switch entry.Action {
	case Accepted, Cancelled, Refused, Claimed, Freed, Stopped, Done, Unsealed:
	case Missed:
		history.Missed++
		history.Others = append(history.Others, entry)
		return
	default:
		history.Others = append(history.Others, entry)
		return
	}
	job := history.Jobs[entry.Subject]
	if job == nil {
		job = &JobHistory{Job: entry.Subject, claims: make(map[int]Task), lastFreed: make(map[int]uint64)}
		history.Jobs[entry.Subject] = job
	}
	job.add(entry)
}

func (job *JobHistory) addFault(entry Entry, format string, args ...any) {
	job.Faults = append(
		job.Faults,
		fmt.Sprintf("%s at %s: ", entry.Action, entry.At.UTC().Format("15:04:05.000"))+fmt.Sprintf(format, args...),
	)
}

func (job *JobHistory) add(entry Entry) {
	job.Entries = append(job.Entries, entry)
	switch entry.Action {
	case Accepted, Unsealed:
		if job.Accepted != nil {
			return // recorded again, from pending entries or by a later leader
		}
		job.Accepted = &entry
	case Refused:
		job.Refused = append(job.Refused, entry)
	case Cancelled:
		if job.Done != nil {
			job.addFault(entry, "the job was done")
		}
		if job.Cancelled == nil {
			job.Cancelled = &entry
		}
	case Done:
		if job.Cancelled != nil {
			job.addFault(entry, "the job was withdrawn")
		}
		if job.Done == nil {
			job.Done = &entry
		}
	case Claimed:
		job.addClaims(entry)
	case Freed:
		for _, task := range entry.Tasks {
			// A freed claim remains in the job's stored claims until the next claim is
			// written, so a new leader may free it a second time.
			claim, ok := job.claims[task.Index]
			isClaimed := ok && claim.Attempt == task.Attempt
			if !isClaimed && job.lastFreed[task.Index] != task.Attempt {
				job.addFault(entry, "task %d, try %d was not claimed", task.Index, task.Attempt)
			} else if isClaimed {
				delete(job.claims, task.Index)
			}
			job.lastFreed[task.Index] = task.Attempt
		}
	}
}

func (job *JobHistory) addClaims(entry Entry) {
	if job.Accepted == nil {
		job.addFault(entry, "the job was not accepted")
	}
	if job.Done != nil || job.Cancelled != nil {
		job.addFault(entry, "the job was over")
	}
	for _, task := range entry.Tasks {
		if claim, ok := job.claims[task.Index]; ok {
			job.addFault(entry, "task %d is claimed for %s already", task.Index, claim.Worker)
		}
		job.claims[task.Index] = task
	}
}

// Describe formats an entry as one line of text.
func (entry Entry) Describe() string {
	line := entry.At.UTC().Format("2006-01-02 15:04:05.000") + "  " + entry.Action.String()
	if entry.Subject != "" {
		line += " " + entry.Subject
	}
	switch {
	case entry.Action == Accepted || entry.Action == Unsealed && len(entry.Tasks) == 1:
		if len(entry.Tasks) == 1 {
			line += fmt.Sprintf(" of %s, %s, %d tasks", entry.Team, entry.Priority, entry.Tasks[0].Index)
		}
	default:
		for i, task := range entry.Tasks {
			if i == 8 {
				line += fmt.Sprintf(" and %d more", len(entry.Tasks)-i)
				break
			}
			line += fmt.Sprintf(" %d#%d@%s", task.Index, task.Attempt, task.Worker)
		}
	}
	if entry.Action == Refused {
		line += fmt.Sprintf(" (%s, owner %s, rank %s)", entry.Purpose, entry.Team, entry.Priority)
	} else if entry.Purpose != "" {
		line += " for " + entry.Purpose
	}
	switch {
	case entry.Actor != "":
		line += " by " + entry.Actor
	case entry.Controller != "":
		line += " by anonymous"
	}
	if entry.Controller != "" {
		line += " through " + entry.Controller
	}
	if entry.Reason != "" {
		line += ": " + entry.Reason
	}
	return line
}
