package leader

import "rillflow/internal/wire"

// Levels of the priorities: the lower, the sooner a job goes.
const (
	productionPriority = iota
	urgentPriority
	standardPriority
	idlePriority
	lowestPriority = idlePriority
)

// priorityName is the name of a priority level.
func priorityName(level int) string { return wire.Priorities()[level] }

// priorityLevel is the level of a priority by its name; what is unknown counts as idle.
func priorityLevel(name string) int {
	switch name {
	case "production":
		return productionPriority
	case "urgent":
		return urgentPriority
	case "standard":
		return standardPriority
	}
	return idlePriority
}
