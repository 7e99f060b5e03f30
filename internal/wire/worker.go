package wire

// Heartbeat is what a worker reports: at its interval and when something changes, and
// in answer to commands and questions sent to it directly.
type Heartbeat struct {
	Worker            string       `json:"host"`
	Address           string       `json:"address"`
	InstanceType      string       `json:"flavor"`
	Zone              string       `json:"locale"`
	Spot              bool         `json:"loaners"`
	Incarnation       uint64       `json:"tenure"` // rises each time the worker's lease expires
	Sequence          uint64       `json:"tick"`   // orders the heartbeats of one incarnation
	Epoch             uint64       `json:"epoch"`  // the highest fencing token the worker has seen
	SpotNoticeSeconds *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"members"`
}

// TaskStatus is one task on a worker, exited tasks that were not forgotten included.
type TaskStatus struct {
	Task            string `json:"member"`
	Attempt         uint64 `json:"try"`
	Phase           string `json:"phase"`
	ExitReason      string `json:"cause,omitempty"`
	CheckpointSaved bool   `json:"kept,omitempty"`
}

// Phases of a task.
const (
	TaskFetching = "fetching" // waits for its image
	TaskRunning  = "running"
	TaskSaving   = "flushing" // was told to stop and saves a checkpoint
	TaskExited   = "ended"
)

// Reasons for which a task exited.
const (
	ExitDone        = "done"
	ExitStopped     = "halted"
	ExitFailed      = "error"
	ExitNoCapacity  = "no_room" // not started: too few free resources on the worker
	ExitDuplicate   = "in_use"  // not started: the worker has it with another attempt
	ExitUnknownTask = "unknown" // not started: no such job or task
)

// CommandBatch answers a heartbeat. Sent to a worker directly, it names the
// incarnation that it is for.
type CommandBatch struct {
	Epoch       uint64    `json:"epoch"` // the fencing token that entitles to command
	Incarnation uint64    `json:"tenure,omitempty"`
	Commands    []Command `json:"orders"`
}

// Command is one command to a worker, about one attempt of a task.
type Command struct {
	Action       string  `json:"verb"`
	Task         string  `json:"member"`
	Attempt      uint64  `json:"try"`
	GraceSeconds float64 `json:"wind_down_s"` // time to save a checkpoint before a stop
}

// Actions of a command.
const (
	ActionStart  = "launch"
	ActionStop   = "stop"
	ActionForget = "reap" // drop an exited task from the heartbeats
)

// Redirect sends a worker to another controller.
type Redirect struct {
	Controller string `json:"steward,omitempty"`
}
