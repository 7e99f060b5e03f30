package settings

import "slices"

// Objective is one service-level objective of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of a deadline
}

// Kinds of objectives that decide here.
const (
	objectiveDeadline = "deadline"
	objectiveFinished = "finished" // within a time since submission
	objectivePrice    = "price"
	objectiveUseful   = "useful" // share of the money that is spent on useful work
)

// Values of the operators' setting on scaling out.
const (
	thriftAlways = "always"
	thriftNever  = "never"
)

// Ample reports whether to scale out ahead of a class's work rather than for what is on
// hand: as the operator says, or else unless the objectives price what is rented, or give
// the class deadlines, so that to be done sooner is worth nothing. An objective to be
// finished within a time since submission counts as one more deadline where there is a
// deadline too. A class that has neither goes with the rest: it is scaled for thriftily
// where all classes with objectives have deadlines.
func (s *Settings) Ample(class string) bool {
	switch s.Operator.Fleet.Thrift {
	case thriftAlways:
		return false
	case thriftNever:
		return true
	}
	var due, soon, anyDue, anySoon bool
	for _, o := range s.Facts.Objectives {
		switch o.Kind {
		case objectivePrice, objectiveUseful:
			return false
		case objectiveDeadline:
			anyDue, due = true, due || o.Class == class
		case objectiveFinished:
			soon = soon || o.Class == class
			anySoon = anySoon || !s.deadline(o.Class)
		}
	}
	switch {
	case due:
		return false
	case soon:
		return true
	}
	return !anyDue || anySoon
}

// Frugal reports whether no class at all is scaled out for ahead of its work.
func (s *Settings) Frugal() bool {
	return !s.Ample("") && !slices.ContainsFunc(
		s.Facts.Objectives, func(o Objective) bool { return o.Class != "" && s.Ample(o.Class) },
	)
}

// deadline reports whether a class has an objective for its deadlines.
func (s *Settings) deadline(class string) bool {
	return slices.ContainsFunc(
		s.Facts.Objectives, func(o Objective) bool { return o.Kind == objectiveDeadline && o.Class == class },
	)
}
