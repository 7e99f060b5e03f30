// Package wire holds the JSON messages of the platform's protocol, field for
// field. The protocol's own names appear here and nowhere else.
package wire

import "encoding/json"

// Job is a submission that was checked, and as it is stored.
type Job struct {
	ID                        string   `json:"ref"`
	Class                     string   `json:"jobclass"`
	Team                      string   `json:"owner"`
	Kind                      string   `json:"shape"`
	Priority                  string   `json:"rank"`
	TaskCount                 int      `json:"members"`
	CPUs                      float64  `json:"cores"`
	GPUs                      float64  `json:"accelerators"`
	MemoryGB                  float64  `json:"ram_gb"`
	Image                     string   `json:"bundle"`
	ImageGB                   float64  `json:"size_gb"`
	InstanceTypes             []string `json:"flavors,omitempty"`
	Zone                      string   `json:"locale,omitempty"`
	SingleZone                bool     `json:"same_place,omitempty"`
	SpreadZones               bool     `json:"scatter,omitempty"`
	AllowSpot                 bool     `json:"loaners,omitempty"`
	ExpectedSeconds           float64  `json:"expect_s"`
	CheckpointIntervalSeconds float64  `json:"snapshot_s,omitempty"`
	CheckpointSaveSeconds     float64  `json:"flush_s,omitempty"`
	DeadlineSeconds           float64  `json:"due_s,omitempty"`
	DependsOn                 []string `json:"waits_on,omitempty"` // jobs that must be done before
}

// JobStatus is the answer to a submission, a poll or a withdrawal.
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

// Shapes of a job.
const (
	KindArray   = "batch"
	KindService = "standing"
	KindGang    = "ensemble" // a gang: all of its tasks start together
)

// Priorities are a job's ranks, from the highest.
func Priorities() []string { return []string{"production", "urgent", "standard", "idle"} }

// Heartbeat is a worker's beat, and its answer to /do and /status.
type Heartbeat struct {
	Worker            string       `json:"host"`
	Address           string       `json:"address"`
	InstanceType      string       `json:"flavor"`
	Zone              string       `json:"locale"`
	Spot              bool         `json:"loaners"`
	Incarnation       uint64       `json:"tenure"`
	Sequence          uint64       `json:"tick"`
	Epoch             uint64       `json:"epoch"`
	SpotNoticeSeconds *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"members"`
}

// TaskStatus is one task on a worker.
type TaskStatus struct {
	Task            string `json:"member"`
	Attempt         uint64 `json:"try"`
	Phase           string `json:"phase"`
	ExitReason      string `json:"cause,omitempty"`
	CheckpointSaved bool   `json:"kept,omitempty"`
}

// Task states and causes of an end.
const (
	TaskFetching = "fetching"
	TaskSaving   = "flushing"
	TaskExited   = "ended"

	ExitDone        = "done"
	ExitStopped     = "halted"
	ExitFailed      = "error"
	ExitNoCapacity  = "no_room"
	ExitDuplicate   = "in_use"
	ExitUnknownTask = "unknown"
)

// CommandBatch answers a beat, and is the body of /do (with a tenure).
type CommandBatch struct {
	Epoch       uint64    `json:"epoch"`
	Incarnation uint64    `json:"tenure,omitempty"`
	Commands    []Command `json:"orders"`
}

// Command is one command to a worker.
type Command struct {
	Action       string  `json:"verb"`
	Task         string  `json:"member"`
	Attempt      uint64  `json:"try"`
	GraceSeconds float64 `json:"wind_down_s"`
}

// Verbs of an order.
const (
	ActionStart  = "launch"
	ActionStop   = "stop"
	ActionForget = "reap"
)

// Redirect sends a worker to another controller.
type Redirect struct {
	Controller string `json:"steward,omitempty"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// InstanceTypeList is the cloud's catalogue.
type InstanceTypeList struct {
	Types []InstanceType `json:"flavors"`
}

// InstanceType is one row of the catalogue.
type InstanceType struct {
	Name                 string   `json:"label"`
	CPUs                 float64  `json:"cores"`
	GPUs                 float64  `json:"accelerators"`
	MemoryGB             float64  `json:"ram_gb"`
	DiskGB               float64  `json:"local_gb"`
	ImagePullGBPerSecond float64  `json:"pull_gb_per_s"`
	PricePerHour         float64  `json:"rate"`
	SpotPricePerHour     float64  `json:"spot_price"`
	BootSeconds          float64  `json:"ready_s"`
	Zones                []string `json:"locales"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID    string `json:"ask"`
	InstanceType string `json:"flavor"`
	Zone         string `json:"locale"`
	Spot         bool   `json:"loaners"`
	Count        int    `json:"how_many"`
}

// InstanceNames is the answer to Rent and the body of a release.
type InstanceNames struct {
	Names []string `json:"hosts"`
}

// InstancePage is a page of the machine list.
type InstancePage struct {
	Instances []Instance `json:"hosts"`
	More      bool       `json:"more"`
}

// Instance is a machine as the cloud lists it.
type Instance struct {
	Name         string  `json:"ref"`
	Address      string  `json:"address"`
	InstanceType string  `json:"flavor"`
	Zone         string  `json:"locale"`
	Spot         bool    `json:"loaners"`
	Phase        string  `json:"phase"`
	AgeSeconds   float64 `json:"held_s"`
}

// Phases of a listed machine.
const (
	InstanceStarting = "starting"
	InstanceFailed   = "failed"
)

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
	LeaseID     uint64          `json:"ticket"`
}

// RangeResponse is a listing of keys.
type RangeResponse struct {
	Items    []KeyValue `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"generation"`
}

// StoreRevision is the generation that an answer tells.
func (response *RangeResponse) StoreRevision() uint64 { return response.Revision }

// StoreRevision is the generation that an answer tells.
func (response *TxnResponse) StoreRevision() uint64 { return response.Revision }

// StoreRevision is the generation that an answer tells.
func (response *WatchResponse) StoreRevision() uint64 { return response.Revision }

// Compare is a condition of a commit.
type Compare struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"stamp"`
}

// Operation is a put or a remove.
type Operation struct {
	Put         string          `json:"put,omitempty"`
	Delete      string          `json:"remove,omitempty"`
	Value       json.RawMessage `json:"data,omitempty"`
	LeaseID     uint64          `json:"ticket,omitempty"`
	ModRevision uint64          `json:"stamp,omitempty"` // in a change log only
}

// Txn is a transaction.
type Txn struct {
	Compares   []Compare   `json:"guards"`
	Operations []Operation `json:"apply"`
}

// TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"generation"`
	FailedKeys []string `json:"failed"`
}

// Lease is a lease of the state service.
type Lease struct {
	TTLMillis int64  `json:"life_ms,omitempty"`
	ID        uint64 `json:"ticket,omitempty"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Revision uint64      `json:"generation"`
	Events   []Operation `json:"log"`
}
