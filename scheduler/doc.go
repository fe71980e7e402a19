// Package scheduler holds the pure decisions: which jobs come first, in which
// hashed part and on which machine a task goes, what is preempted, and which
// machines are rented or returned.
package scheduler
