package wire

// Heartbeat is a worker's report of its state. A worker sends it at its interval, when something
// changes, and in response to direct commands and status requests.
type Heartbeat struct {
	Worker            string       `json:"host"`
	Address           string       `json:"address"`
	InstanceType      string       `json:"flavor"`
	Zone              string       `json:"locale"`
	Spot              bool         `json:"loaners"`
	Incarnation       uint64       `json:"tenure"` // rises each time the worker's lease expires
	Sequence          uint64       `json:"tick"`   // orders the heartbeats of one incarnation
	Epoch             uint64       `json:"epoch"`  // highest fencing token that the worker has seen
	SpotNoticeSeconds *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"members"`
}

// TaskStatus is the state of one task on a worker. A worker reports exited tasks too, until it is
// told to forget them.
type TaskStatus struct {
	Task            string `json:"member"`
	Attempt         uint64 `json:"try"`
	Phase           string `json:"phase"`
	ExitReason      string `json:"cause,omitempty"`
	CheckpointSaved bool   `json:"kept,omitempty"`
}

// Phases of a task.
const (
	TaskFetching = "fetching" // waiting for its image
	TaskRunning  = "running"
	TaskSaving   = "flushing" // saving a checkpoint after a stop command
	TaskExited   = "ended"
)

// Reasons for which a task exited.
const (
	ExitDone        = "done"
	ExitStopped     = "halted"
	ExitFailed      = "error"
	ExitNoCapacity  = "no_room" // not started: not enough free resources on the worker
	ExitDuplicate   = "in_use"  // not started: the worker already has another attempt of it
	ExitUnknownTask = "unknown" // not started: no such job or task
)

// CommandBatch is the response to a heartbeat. A batch sent to a worker directly includes the
// incarnation that it is meant for.
type CommandBatch struct {
	Epoch       uint64    `json:"epoch"` // fencing token of the sender
	Incarnation uint64    `json:"tenure,omitempty"`
	Commands    []Command `json:"orders"`
}

// Command is a command to a worker for one attempt of a task.
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
	ActionForget = "reap" // stop reporting an exited task
)

// Redirect tells a worker which controller to send its heartbeats to.
type Redirect struct {
	Controller string `json:"steward,omitempty"`
}
