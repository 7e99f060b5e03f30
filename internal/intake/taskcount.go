package intake

import (
	"encoding/json"
	"math"
	"strconv"
)

// taskCount is a number of tasks in a submission. JSON has several spellings of an integer: 16, 16.0, 1.6e1.
type taskCount int

// UnmarshalJSON implements json.Unmarshaler.
func (count *taskCount) UnmarshalJSON(data []byte) error {
	number, err := strconv.ParseFloat(string(data), 64)
	if err == nil && number == math.Trunc(number) && math.Abs(number) <= math.MaxInt32 {
		*count = taskCount(number)
		return nil
	}
	return json.Unmarshal(data, (*int)(count))
}
