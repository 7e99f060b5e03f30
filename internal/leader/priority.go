package leader

import "rillflow/internal/wire"

// Priority levels; jobs of a lower level are scheduled first.
const (
	productionPriority = iota
	urgentPriority
	standardPriority
	idlePriority
	lowestPriority = idlePriority
)

// priorityName returns the name of a priority level.
func priorityName(level int) string { return wire.Priorities()[level] }

// priorityLevel returns the level of the priority with the given name; unknown names count as idle.
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
