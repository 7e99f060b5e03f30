package leader

// The reasons below are stored in the audit log and read back by its tools and by operators.
// Their words are part of the stored form and must not change.

// Why a task was stopped.
const (
	stopGangEnded = "a member of the gang ended"
	stopReclaimed = "the cloud takes the machine" // by a termination notice
	stopDrained   = "its machine is drained"
	stopPreempted = "rank %s gives way to %s" // the priorities of the stopped and of the preempting job
)

// Why a claim was freed: what proves that its task is gone.
const (
	freedLeaseExpired   = "lease over"
	freedNewIncarnation = "new tenure"
	freedNeverStarted   = "no launch can reach the machine"
	freedReleased       = "machine returned"
	freedCancelled      = "ended, withdrawn"
	freedEnded          = "ended" // a task of a service
	freedFailed         = "failed"
	freedNoCapacity     = "refused: no room"
	freedRefused        = "refused: " // the worker's word follows
	freedStopped        = "halted"
)

// Why an instance is released.
const (
	releaseUnanswered  = "again" // an earlier release was not answered
	releaseFailed      = "failed"
	releaseOverdueTask = "withdrawn task" // a cancelled task would outlive its time
	releaseExpired     = "lease over"
	releaseSilent      = "silent"
	releaseNeverUp     = "never up"
	releaseFailsTasks  = "fails tasks"
	releaseIdle        = "idle"
)
