// Package placement decides which waiting tasks a worker with free capacity takes next.
//
// It implements MaxWeight scheduling with discounted UCB estimates, as in the paper that
// the design follows: among the job types whose next task fits, a worker takes the one with
// the greatest product of unfinished tasks and optimistic service rate (Table.Weight). That
// product is combined with priority tiers, aging, image locality and the fit of task and
// worker (SelectQueue, Table.Choose).
//
// The only state is a Table: the service rates that one controller has learned from the
// finished tasks of its workers. The leader describes free capacity and waiting jobs in an
// Offer; the owner of a shard calls Table.Choose and returns its picks; the leader confirms
// them against its job table. The package is pure: the caller passes in the time, nothing
// here does I/O or takes a lock, and callers must serialize access to a Table. A pick is a
// bid and must not be treated as an assignment.
package placement
