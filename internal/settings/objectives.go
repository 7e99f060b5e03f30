package settings

import "slices"

// Objective is one service-level objective of the users.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinSeconds  float64 `toml:"within_s"`
	Share          float64 `toml:"share"`
	DeadlineFactor float64 `toml:"times"` // of a deadline
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

// ScalesAhead reports whether to scale out ahead of a class's work rather than for what is on
// hand: as the operator says, or else unless the objectives price what is rented, or give
// the class deadlines, so that to be done sooner is worth nothing. An objective to be
// finished within a time since submission counts as one more deadline where there is a
// deadline too. A class that has neither goes with the rest: it is scaled for thriftily
// where all classes with objectives have deadlines.
func (settings *Settings) ScalesAhead(class string) bool {
	switch settings.Operator.Fleet.CostSaving {
	case thriftAlways:
		return false
	case thriftNever:
		return true
	}
	var hasDeadline, wantedSoon, anyDeadline, anyWantedSoon bool
	for _, objective := range settings.Facts.Objectives {
		switch objective.Kind {
		case objectivePrice, objectiveUseful:
			return false
		case objectiveDeadline:
			anyDeadline, hasDeadline = true, hasDeadline || objective.Class == class
		case objectiveFinished:
			wantedSoon = wantedSoon || objective.Class == class
			anyWantedSoon = anyWantedSoon || !settings.hasDeadlineObjective(objective.Class)
		}
	}
	switch {
	case hasDeadline:
		return false
	case wantedSoon:
		return true
	}
	return !anyDeadline || anyWantedSoon
}

// NeverScalesAhead reports whether no class at all is scaled out for ahead of its work.
func (settings *Settings) NeverScalesAhead() bool {
	scalesAhead := func(objective Objective) bool {
		return objective.Class != "" && settings.ScalesAhead(objective.Class)
	}
	return !settings.ScalesAhead("") && !slices.ContainsFunc(settings.Facts.Objectives, scalesAhead)
}

// hasDeadlineObjective reports whether a class has an objective for its deadlines.
func (settings *Settings) hasDeadlineObjective(class string) bool {
	return slices.ContainsFunc(settings.Facts.Objectives, func(objective Objective) bool {
		return objective.Kind == objectiveDeadline && objective.Class == class
	})
}
