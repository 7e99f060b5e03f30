package audit

import (
	"fmt"
)

// Story is what a record tells of one job.
type Story struct {
	Job       string
	Accepted  *Entry
	Withdrawn *Entry
	Done      *Entry
	Refused   []Entry
	Entries   []Entry // all of the job, in the order of the record
	claims    map[int]Task
	freed     map[int]uint64 // the last try that was lost, by task
	Faults    []string       // what cannot have been, by the service's own rules
}

// History puts a record's entries together, job by job.
type History struct {
	Jobs    map[string]*Story
	Others  []Entry // of no job: machines, controllers, identities
	Entries int
	Missed  int // entries of which there is one that tells that it had no room for them
}

// NewHistory begins with nothing.
func NewHistory() *History { return &History{Jobs: make(map[string]*Story)} }

// Add takes the next entry of the record.
func (h *History) Add(e Entry) {
	h.Entries++
	switch e.Act {
	case Accepted, Withdrawn, Refused, Claimed, Lost, Stopped, Done, Unsealed:
	case Missed:
		h.Missed++
		h.Others = append(h.Others, e)
		return
	default:
		h.Others = append(h.Others, e)
		return
	}
	s := h.Jobs[e.On]
	if s == nil {
		s = &Story{Job: e.On, claims: make(map[int]Task), freed: make(map[int]uint64)}
		h.Jobs[e.On] = s
	}
	s.add(e)
}

func (s *Story) fault(e Entry, format string, a ...any) {
	s.Faults = append(
		s.Faults,
		fmt.Sprintf("%s at %s: ", e.Act, e.At.UTC().Format("15:04:05.000"))+fmt.Sprintf(format, a...),
	)
}

func (s *Story) add(e Entry) {
	s.Entries = append(s.Entries, e)
	switch e.Act {
	case Accepted, Unsealed:
		if s.Accepted != nil {
			return // told again, by a slip or a later leader
		}
		s.Accepted = &e
	case Refused:
		s.Refused = append(s.Refused, e)
	case Withdrawn:
		if s.Done != nil {
			s.fault(e, "the job was done")
		}
		if s.Withdrawn == nil {
			s.Withdrawn = &e
		}
	case Done:
		if s.Withdrawn != nil {
			s.fault(e, "the job was withdrawn")
		}
		if s.Done == nil {
			s.Done = &e
		}
	case Claimed:
		s.claim(e)
	case Lost:
		for _, t := range e.Tasks {
			// A claim that was lost stands in its job's stored claims until the next
			// one is written, so a new leader may find it lost once more.
			if c, ok := s.claims[t.Index]; (!ok || c.Try != t.Try) && s.freed[t.Index] != t.Try {
				s.fault(e, "task %d, try %d was not claimed", t.Index, t.Try)
			} else if ok && c.Try == t.Try {
				delete(s.claims, t.Index)
			}
			s.freed[t.Index] = t.Try
		}
	}
}

func (s *Story) claim(e Entry) {
	if s.Accepted == nil {
		s.fault(e, "the job was not accepted")
	}
	if s.Done != nil || s.Withdrawn != nil {
		s.fault(e, "the job was over")
	}
	for _, t := range e.Tasks {
		if c, ok := s.claims[t.Index]; ok {
			s.fault(e, "task %d is claimed for %s already", t.Index, c.Host)
		}
		s.claims[t.Index] = t
	}
}

// Says gives an entry in a line, for people.
func (e Entry) Says() string {
	s := e.At.UTC().Format("2006-01-02 15:04:05.000") + "  " + e.Act.String()
	if e.On != "" {
		s += " " + e.On
	}
	switch {
	case e.Act == Accepted || e.Act == Unsealed && len(e.Tasks) == 1:
		if len(e.Tasks) == 1 {
			s += fmt.Sprintf(" of %s, %s, %d tasks", e.Owner, e.Rank, e.Tasks[0].Index)
		}
	default:
		for i, t := range e.Tasks {
			if i == 8 {
				s += fmt.Sprintf(" and %d more", len(e.Tasks)-i)
				break
			}
			s += fmt.Sprintf(" %d#%d@%s", t.Index, t.Try, t.Host)
		}
	}
	if e.Act == Refused {
		s += fmt.Sprintf(" (%s, owner %s, rank %s)", e.For, e.Owner, e.Rank)
	} else if e.For != "" {
		s += " for " + e.For
	}
	switch {
	case e.Who != "":
		s += " by " + e.Who
	case e.Via != "":
		s += " by anonymous"
	}
	if e.Via != "" {
		s += " through " + e.Via
	}
	if e.Why != "" {
		s += ": " + e.Why
	}
	return s
}
