// Package failureclass distinguishes a job whose tasks fail on every machine, because it was
// submitted with a mistake, from a machine that is faulty.
//
// A single failed task does not show the cause: workers report `error` both for a faulty
// machine and for a job that can't run anywhere. The leader keeps a failure history for each job
// and records every task failure and every success in it. A job that has failed on
// BrokenAfterMachines different machines without a single success is classified as broken, and
// its tasks are retried with a longer backoff. A success of any task ends that classification.
// It shows that the job can run, so its failures elsewhere were caused by the machines.
// HasSucceeded reports such a success.
//
// The package does no I/O and reads no clock; durations are passed in.
package failureclass

import (
	"slices"
	"time"
)

const (
	// BrokenAfterMachines is the number of different machines on which a job must have
	// failed, without a success, to be classified as broken. Two could be two faulty machines;
	// with a third one, a mistake in the job is far more likely than three faults.
	BrokenAfterMachines = 3

	// BaseRetryDelay is the delay before a failed task's first retry. It doubles with each
	// further failure of the same task.
	BaseRetryDelay = 500 * time.Millisecond
	// maxRetryDoublings limits how often the delay of a job that is not broken doubles
	// (500 ms to 16 s): its failures are most likely faults of machines, so it should
	// soon be retried on another one.
	maxRetryDoublings = 5
	// MaxBrokenRetryDelay is the longest retry delay of a broken job's task. It stays well below
	// 90 s, the longest time that an accepted job may wait while a suitable machine has room.
	// So a job that its user leaves as it is continues to be retried, and one that can run
	// after all shows it by a success, after which it is no longer classified as broken.
	MaxBrokenRetryDelay = 30 * time.Second
)

// History is the failure history of one job. The zero value is that of a job without failures.
type History struct {
	machines  []string      // IDs of the machines where its tasks failed, each once, in the order of their first failure
	succeeded bool          // a task has succeeded
	failures  int           // number of failures, also repeated ones of the same task
	lostTime  time.Duration // total run time of the failed attempts, as far as it is known; see FailureCost
}

// RecordFailure records that one of the job's tasks failed on machine after it had run for runTime
// (zero where that is not known). It reports whether the job became broken through this failure.
func (j *History) RecordFailure(machine string, runTime time.Duration) (becameBroken bool) {
	wasBroken := j.Broken()
	j.failures++
	j.lostTime += max(runTime, 0)
	if !slices.Contains(j.machines, machine) {
		j.machines = append(j.machines, machine)
	}
	return !wasBroken && j.Broken()
}

// RecordSuccess records that a task of the job succeeded: its earlier failures were caused by the
// machines, and the job is not broken.
func (j *History) RecordSuccess() { j.succeeded = true }

// HasSucceeded reports whether a task of the job has succeeded.
func (j *History) HasSucceeded() bool { return j.succeeded }

// Broken reports whether the job has failed on BrokenAfterMachines machines and no task of it has succeeded.
func (j *History) Broken() bool {
	return !j.succeeded && len(j.machines) >= BrokenAfterMachines
}

// Machines returns the machines on which the job's tasks failed, each once, in the order of
// their first failure. The caller must not change the slice.
func (j *History) Machines() []string { return j.machines }

// FailureCost returns how many attempts of the job failed and the machine time that they took, as far
// as their run times were known.
func (j *History) FailureCost() (attempts int, lostTime time.Duration) { return j.failures, j.lostTime }

// RetryDelay returns how long a task waits before it is retried after a failure, where
// earlierFailures counts its failures before that one. A broken job's delay keeps doubling up
// to MaxBrokenRetryDelay.
func (j *History) RetryDelay(earlierFailures int) time.Duration {
	earlierFailures = max(earlierFailures, 0)
	if !j.Broken() {
		return BaseRetryDelay << min(earlierFailures, maxRetryDoublings)
	}
	// BaseRetryDelay << 6 is 32 s, beyond the limit: no more doublings are needed.
	return min(BaseRetryDelay<<min(earlierFailures, 6), MaxBrokenRetryDelay)
}
