// Package failureclass tells a job whose tasks fail on every machine, because it was
// submitted with a mistake, apart from a machine that is faulty.
//
// A task that ends with an error says little by itself: the protocol's workers report
// `error` both for a faulty machine and for a job that can't run anywhere. The leader keeps
// one Job value for each job and feeds it every task failure and every success. Once the
// job has failed on BrokenAfterMachines different machines without a single success, it is
// broken: its tasks are retried with a longer backoff. A success of any task ends the
// verdict, and tells that the job can run, so that its failures elsewhere were the
// machines' (HasSucceeded).
//
// The package is pure: it does no I/O and reads no clock; durations are handed in.
package failureclass

import (
	"slices"
	"time"
)

const (
	// BrokenAfterMachines is how many different machines a job must have failed on, without
	// a success, before it is taken for broken. Two could be two faulty machines; a third
	// that fails the same job makes a mistake in the job far more likely than three faults.
	BrokenAfterMachines = 3

	// RetryBase is the pause before a failed task's first retry. It doubles with each
	// further failure of the same task.
	RetryBase = 500 * time.Millisecond
	// retryDoublings bounds how often the pause of a job that is not broken doubles
	// (500 ms to 16 s): its failures are most likely faults of machines, and it should
	// soon run elsewhere.
	retryDoublings = 5
	// BrokenRetryMost is the longest pause of a broken job's task. It stays well below the
	// 90 s for which no accepted job may wait while a fitting machine has room, so that a
	// job whose user mends nothing is still tried, and one that works after all is seen to.
	BrokenRetryMost = 30 * time.Second
)

// Job is what is known of the failures of one job's tasks. The zero value is a job
// without failures.
type Job struct {
	machines  []string // where its tasks failed, each once, in the order of their first failure
	succeeded bool
	failures  int
	lost      time.Duration
}

// Failed records that one of the job's tasks failed on machine after it had run for ran
// (zero where that is not known). It reports whether this failure made the job broken.
func (j *Job) Failed(machine string, ran time.Duration) (becameBroken bool) {
	wasBroken := j.Broken()
	j.failures++
	j.lost += max(ran, 0)
	if !slices.Contains(j.machines, machine) {
		j.machines = append(j.machines, machine)
	}
	return !wasBroken && j.Broken()
}

// Succeeded records that a task of the job ended well: whatever failed before was the
// machines', and the job is not broken.
func (j *Job) Succeeded() { j.succeeded = true }

// HasSucceeded reports whether a task of the job has ended well.
func (j *Job) HasSucceeded() bool { return j.succeeded }

// Broken reports whether the job fails on every machine it is tried on.
func (j *Job) Broken() bool {
	return !j.succeeded && len(j.machines) >= BrokenAfterMachines
}

// Machines lists the machines on which the job's tasks failed, each once, in the order of
// their first failure. The caller must not change the slice.
func (j *Job) Machines() []string { return j.machines }

// Lost is how many attempts of the job failed and how much machine time they took, as far
// as it was handed to Failed.
func (j *Job) Lost() (attempts int, machineTime time.Duration) { return j.failures, j.lost }

// RetryDelay is how long a task waits before it is tried again after its failures-th
// failure (0 for the first). A broken job's pause keeps doubling up to BrokenRetryMost.
func (j *Job) RetryDelay(failures int) time.Duration {
	failures = max(failures, 0)
	if !j.Broken() {
		return RetryBase << min(failures, retryDoublings)
	}
	// RetryBase << 6 is 32 s, past the bound: no more doublings are needed.
	return min(RetryBase<<min(failures, 6), BrokenRetryMost)
}
