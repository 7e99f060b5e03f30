package audit

import (
	"fmt"
)

// JobHistory is what the audit log tells of one job.
type JobHistory struct {
	Job       string
	Accepted  *Entry
	Cancelled *Entry
	Done      *Entry
	Refused   []Entry
	Entries   []Entry // all of the job, in the order of the log
	claims    map[int]Task
	freed     map[int]uint64 // the last attempt that was freed, by task
	Faults    []string       // what cannot have been, by the service's own rules
}

// History puts the log's entries together, job by job.
type History struct {
	Jobs    map[string]*JobHistory
	Others  []Entry // of no job: workers, controllers, identities
	Entries int
	Missed  int // entries of which there is one that tells that it had no room for them
}

// NewHistory begins with nothing.
func NewHistory() *History { return &History{Jobs: make(map[string]*JobHistory)} }

// Add takes the next entry of the log.
func (history *History) Add(e Entry) {
	history.Entries++
	switch e.Action {
	case Accepted, Cancelled, Refused, Claimed, Freed, Stopped, Done, Unsealed:
	case Missed:
		history.Missed++
		history.Others = append(history.Others, e)
		return
	default:
		history.Others = append(history.Others, e)
		return
	}
	s := history.Jobs[e.Subject]
	if s == nil {
		s = &JobHistory{Job: e.Subject, claims: make(map[int]Task), freed: make(map[int]uint64)}
		history.Jobs[e.Subject] = s
	}
	s.add(e)
}

func (job *JobHistory) addFault(e Entry, format string, a ...any) {
	job.Faults = append(
		job.Faults,
		fmt.Sprintf("%s at %s: ", e.Action, e.At.UTC().Format("15:04:05.000"))+fmt.Sprintf(format, a...),
	)
}

func (job *JobHistory) add(e Entry) {
	job.Entries = append(job.Entries, e)
	switch e.Action {
	case Accepted, Unsealed:
		if job.Accepted != nil {
			return // told again, by pending entries or a later leader
		}
		job.Accepted = &e
	case Refused:
		job.Refused = append(job.Refused, e)
	case Cancelled:
		if job.Done != nil {
			job.addFault(e, "the job was done")
		}
		if job.Cancelled == nil {
			job.Cancelled = &e
		}
	case Done:
		if job.Cancelled != nil {
			job.addFault(e, "the job was withdrawn")
		}
		if job.Done == nil {
			job.Done = &e
		}
	case Claimed:
		job.claim(e)
	case Freed:
		for _, t := range e.Tasks {
			// A claim that was freed stands in its job's stored claims until the next
			// one is written, so a new leader may free it once more.
			if c, ok := job.claims[t.Index]; (!ok || c.Attempt != t.Attempt) && job.freed[t.Index] != t.Attempt {
				job.addFault(e, "task %d, try %d was not claimed", t.Index, t.Attempt)
			} else if ok && c.Attempt == t.Attempt {
				delete(job.claims, t.Index)
			}
			job.freed[t.Index] = t.Attempt
		}
	}
}

func (job *JobHistory) claim(e Entry) {
	if job.Accepted == nil {
		job.addFault(e, "the job was not accepted")
	}
	if job.Done != nil || job.Cancelled != nil {
		job.addFault(e, "the job was over")
	}
	for _, t := range e.Tasks {
		if c, ok := job.claims[t.Index]; ok {
			job.addFault(e, "task %d is claimed for %s already", t.Index, c.Worker)
		}
		job.claims[t.Index] = t
	}
}

// Describe gives an entry in a line, for people.
func (entry Entry) Describe() string {
	s := entry.At.UTC().Format("2006-01-02 15:04:05.000") + "  " + entry.Action.String()
	if entry.Subject != "" {
		s += " " + entry.Subject
	}
	switch {
	case entry.Action == Accepted || entry.Action == Unsealed && len(entry.Tasks) == 1:
		if len(entry.Tasks) == 1 {
			s += fmt.Sprintf(" of %s, %s, %d tasks", entry.Team, entry.Priority, entry.Tasks[0].Index)
		}
	default:
		for i, t := range entry.Tasks {
			if i == 8 {
				s += fmt.Sprintf(" and %d more", len(entry.Tasks)-i)
				break
			}
			s += fmt.Sprintf(" %d#%d@%s", t.Index, t.Attempt, t.Worker)
		}
	}
	if entry.Action == Refused {
		s += fmt.Sprintf(" (%s, owner %s, rank %s)", entry.Purpose, entry.Team, entry.Priority)
	} else if entry.Purpose != "" {
		s += " for " + entry.Purpose
	}
	switch {
	case entry.Actor != "":
		s += " by " + entry.Actor
	case entry.Controller != "":
		s += " by anonymous"
	}
	if entry.Controller != "" {
		s += " through " + entry.Controller
	}
	if entry.Reason != "" {
		s += ": " + entry.Reason
	}
	return s
}
