// Package recovery reconstructs the records of jobs and claims after the key-value store
// has lost data, from what is left of them: what the store still holds, replicas in the
// memory of controllers, and snapshots.
//
// It decides only by what a record proves:
//
//	                   proves                              does not prove
//	an end             the job has ended, for good         -
//	a cancellation     as an end; it prevails over claims  that its tasks have stopped
//	a finished task    the task is done, for good          -
//	a claim            the task may run where it says, and that it runs there; that there
//	                   no earlier attempt runs anywhere    was no later attempt
//	a job's record     the job was accepted                that it has not ended
//	a missing key      nothing                             that it never existed
//
// The package is pure: it holds no state beyond a call of [Merge], reads no clock and does
// no I/O. The leader's runtime calls it when it starts to lead in a store incarnation that
// is not complete; reading the sources and committing the writes, guarded by the mod
// revisions that they name, is the caller's part.
package recovery
