// Package cancellation guarantees that once a cancellation has been acknowledged to the
// user, the tasks of the job stop within the deadline, even while the key-value store is
// unavailable. Therefore a cancellation is acknowledged only when every controller that
// may still answer a worker's heartbeat has it, or when the current leader has accepted
// responsibility for it.
//
// The package owns the in-memory [Set] of recently committed cancellations, which has its
// own lock, and the messages by which controllers exchange them. The job API calls
// [Broadcaster.Broadcast] after it has committed a cancellation. The links between
// controllers call [Broadcaster.PeerConnected], [Broadcaster.SyncPeer] and [Set.Receive].
// The shard owner calls [Set.AmendCommands] for each heartbeat that it answers.
//
// The package must not write to the store. It needs no leadership: any controller may stop
// a task of a cancelled job at any time.
package cancellation
