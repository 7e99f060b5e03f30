// Package cancellation keeps one promise: once a user has been told that a job is
// cancelled, its tasks stop in time, even while the key-value store is unavailable.
// Therefore a cancellation is acknowledged to the user only when every controller that
// may still answer a worker's heartbeat knows of it, or when the current leader has
// accepted responsibility for it.
//
// The package owns the [Set] of recently committed cancellations that this controller
// knows of, in memory and under the set's own lock, and the messages by which
// controllers exchange them. [Broadcaster.Broadcast] is called by the job API after a
// cancellation is committed; [Broadcaster.PeerConnected], [Broadcaster.SyncPeer] and
// [Set.Receive] by the links between controllers; [Set.AmendCommands] by the shard owner
// for each heartbeat that it answers.
//
// It must not write to the store, and it needs no leadership: stopping a task of a
// cancelled job is safe for any controller, at any time.
package cancellation
