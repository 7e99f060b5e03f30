package wire

// Job is a submission. An accepted one is stored in the same form.
type Job struct {
	ID       string `json:"ref"`
	Class    string `json:"jobclass"`
	Team     string `json:"owner"` // team whose quota applies
	Kind     string `json:"shape"`
	Priority string `json:"rank"`

	TaskCount int     `json:"members"`
	CPUs      float64 `json:"cores"` // per task, like GPUs and MemoryGB
	GPUs      float64 `json:"accelerators"`
	MemoryGB  float64 `json:"ram_gb"`
	Image     string  `json:"bundle"`
	ImageGB   float64 `json:"size_gb"`

	InstanceTypes []string `json:"flavors,omitempty"` // allowed types; empty: any
	Zone          string   `json:"locale,omitempty"`  // the only allowed zone; "": any
	SingleZone    bool     `json:"same_place,omitempty"`
	SpreadZones   bool     `json:"scatter,omitempty"`
	AllowSpot     bool     `json:"loaners,omitempty"`

	ExpectedSeconds           float64 `json:"expect_s"` // run time of a task, as estimated by the user
	CheckpointIntervalSeconds float64 `json:"snapshot_s,omitempty"`
	CheckpointSaveSeconds     float64 `json:"flush_s,omitempty"`
	DeadlineSeconds           float64 `json:"due_s,omitempty"` // since the submission; 0: none

	DependsOn []string `json:"waits_on,omitempty"` // IDs of jobs that must be done before this one starts
}

// Kinds of a job.
const (
	KindArray   = "batch"    // independent tasks that run to completion
	KindService = "standing" // replicas that run until the job is cancelled
	KindGang    = "ensemble" // tasks that all start together
)

// Priorities returns the priorities of jobs, the highest first.
func Priorities() []string { return []string{"production", "urgent", "standard", "idle"} }

// JobStatus is the response to a submission, a poll or a cancellation.
type JobStatus struct {
	ID      string `json:"ref"`
	Phase   string `json:"phase"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Phases of a job.
const (
	PhaseQueued    = "queued"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "withdrawn"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
