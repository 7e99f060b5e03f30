// Package recovery reconstructs the records of jobs and claims after the key-value store
// has lost data. Its sources are the remaining contents of the store, the replicas in the
// controllers' memory, and snapshots.
//
// Its decisions follow only from what a record proves:
//
//	                   proves                              does not prove
//	an end             the job has ended for good          -
//	a cancellation     as an end; it overrides claims      that its tasks have stopped
//	a finished task    the task is done for good           -
//	a claim            the task may run on that worker,    that it runs there; that there
//	                   no earlier attempt runs anywhere    was no later attempt
//	a job's record     the job was accepted                that it has not ended
//	a missing key      nothing                             that it never existed
//
// The package is pure: it holds no state beyond a call of [Merge], reads no clock and does
// no I/O. The leader's runtime calls it when it starts to lead in a store incarnation that
// is not complete. The caller reads the sources and commits the writes, each guarded by its
// mod revision.
package recovery
