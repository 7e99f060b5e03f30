package settings

import "slices"

// Objective is one service-level objective of the users.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinSeconds  float64 `toml:"within_s"`
	Share          float64 `toml:"share"`
	DeadlineFactor float64 `toml:"times"` // multiple of the deadline within which jobs must finish
}

// Kinds of objectives that affect scaling ahead of demand.
const (
	objectiveDeadline = "deadline"
	objectiveFinished = "finished" // within a time from submission
	objectivePrice    = "price"
	objectiveUseful   = "useful" // share of the cost that is spent on useful work
)

// Values of Fleet.CostSaving that override the objectives.
const (
	thriftAlways = "always"
	thriftNever  = "never"
)

// ScalesAhead reports whether to scale out ahead of a class's demand rather than only for
// the jobs at hand. The operators' setting decides if it is always or never. Otherwise the
// answer is no if an objective is about cost or if the class has a deadline objective, as
// finishing earlier than the deadline then gains nothing. A class with both a deadline
// objective and one for the time from submission to the end counts as one with a deadline; a
// class with only the latter is scaled ahead for. A class with neither is scaled ahead for
// too, unless deadline objectives exist and every class with a time objective has one.
func (settings *Settings) ScalesAhead(class string) bool {
	switch settings.Operator.Fleet.CostSaving {
	case thriftAlways:
		return false
	case thriftNever:
		return true
	}
	var hasDeadline, hasFinishTime, anyDeadline, anyFinishTimeOnly bool
	for _, objective := range settings.Facts.Objectives {
		switch objective.Kind {
		case objectivePrice, objectiveUseful:
			return false
		case objectiveDeadline:
			anyDeadline, hasDeadline = true, hasDeadline || objective.Class == class
		case objectiveFinished:
			hasFinishTime = hasFinishTime || objective.Class == class
			anyFinishTimeOnly = anyFinishTimeOnly || !settings.hasDeadlineObjective(objective.Class)
		}
	}
	switch {
	case hasDeadline:
		return false
	case hasFinishTime:
		return true
	}
	return !anyDeadline || anyFinishTimeOnly
}

// NeverScalesAhead reports whether the fleet isn't scaled ahead of demand for any class.
func (settings *Settings) NeverScalesAhead() bool {
	scalesAhead := func(objective Objective) bool {
		return objective.Class != "" && settings.ScalesAhead(objective.Class)
	}
	return !settings.ScalesAhead("") && !slices.ContainsFunc(settings.Facts.Objectives, scalesAhead)
}

// hasDeadlineObjective reports whether a class has a deadline objective.
func (settings *Settings) hasDeadlineObjective(class string) bool {
	return slices.ContainsFunc(settings.Facts.Objectives, func(objective Objective) bool {
		return objective.Kind == objectiveDeadline && objective.Class == class
	})
}
