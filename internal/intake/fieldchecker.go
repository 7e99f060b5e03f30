package intake

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"rillflow/internal/wire"
)

// Limits on the values of a submission's fields.
const (
	maxTextBytes = 200
	maxAmount    = 1e9
)

// Faults of a field, as answered to users.
const (
	missing   = "missing"
	invalid   = "invalid"
	unknown   = "unknown"
	wrongForm = "wrong form"
)

// fieldChecker checks the fields of a submission and collects their faults, under the
// protocol's field names.
type fieldChecker struct {
	faults []error
}

func (check *fieldChecker) fault(field, problem string) {
	check.faults = append(check.faults, fmt.Errorf("%s: %s", field, problem))
}

func (check *fieldChecker) text(field string, value *string) string {
	if value == nil || *value == "" {
		check.fault(field, missing)
		return ""
	}
	if len(*value) > maxTextBytes || strings.ContainsAny(*value, "\x00\n") {
		check.fault(field, invalid)
	}
	return *value
}

func (check *fieldChecker) amount(field string, value *float64) float64 {
	if value == nil {
		check.fault(field, missing)
		return 0
	}
	if math.IsNaN(*value) || math.IsInf(*value, 0) || *value < 0 || *value > maxAmount {
		check.fault(field, invalid)
	}
	return *value
}

func (check *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		check.fault(field, missing)
		return false
	}
	return *value
}

func (check *fieldChecker) taskCount(value *taskCount) int {
	switch {
	case value == nil:
		check.fault("members", missing)
	case *value < 1 || *value > maxTasks:
		check.fault("members", invalid)
	default:
		return int(*value)
	}
	return 0
}

// idAndEnums checks the form of the job ID and the fields with a fixed set of values.
func (check *fieldChecker) idAndEnums(job *wire.Job) {
	if !ValidJobID(job.ID) {
		check.fault("ref", wrongForm)
	}
	if job.Kind != wire.KindArray && job.Kind != wire.KindService && job.Kind != wire.KindGang {
		check.fault("shape", unknown)
	}
	if !slices.Contains(wire.Priorities(), job.Priority) {
		check.fault("rank", unknown)
	}
}
