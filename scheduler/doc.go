// Package scheduler holds the scheduling decisions as pure functions: the order of
// jobs, the hashed shard and the machine for each task, which tasks are preempted,
// and which machines are rented.
package scheduler
