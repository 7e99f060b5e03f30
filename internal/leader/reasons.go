package leader

// The reasons below are stored in the audit log and read by its tools and by operators. Their
// texts are part of the stored format and must not change.

// Why a task was stopped.
const (
	stopGangEnded = "a member of the gang ended"
	stopReclaimed = "the cloud takes the machine" // after a termination notice
	stopDrained   = "its machine is drained"
	stopPreempted = "rank %s gives way to %s" // priorities of the preempted and of the preempting job
)

// Why a claim was freed: the proof that its task does not run any more.
const (
	freedLeaseExpired   = "lease over"
	freedNewIncarnation = "new tenure"
	freedNeverStarted   = "no launch can reach the machine"
	freedReleased       = "machine returned"
	freedCancelled      = "ended, withdrawn"
	freedEnded          = "ended" // a task of a service
	freedFailed         = "failed"
	freedNoCapacity     = "refused: no room"
	freedRefused        = "refused: " // followed by the worker's exit reason
	freedStopped        = "halted"
)

// Why an instance is released.
const (
	releaseUnanswered  = "again" // an earlier release request was not answered
	releaseFailed      = "failed"
	releaseOverdueTask = "withdrawn task" // a cancelled task may run past its deadline
	releaseExpired     = "lease over"
	releaseSilent      = "silent"
	releaseNeverUp     = "never up"
	releaseFailsTasks  = "fails tasks"
	releaseIdle        = "idle"
)
