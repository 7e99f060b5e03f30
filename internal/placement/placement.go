// Package placement decides which waiting tasks a worker with free capacity takes next.
//
// The decision is MaxWeight scheduling with discounted UCB estimates, as in the paper
// that the design follows: among the job types whose next task fits, a worker takes the
// one with the greatest product of unfinished tasks and optimistic service rate
// (Table.Weight). Priority tiers, aging, image locality and the fit of task and worker
// decide around that product (SelectQueue, Table.Choose).
//
// A Table is the only state: what one controller learned from the finished tasks that its
// workers reported. The leader describes free capacity and waiting jobs in an Offer; the
// owner of a shard calls Table.Choose and sends its picks back; the leader confirms them
// against its job table. The package is pure: time is passed in, nothing here does I/O or
// takes a lock, and callers must serialize access to a Table. A pick is a bid, so nothing
// here may be taken for an assignment.
package placement
