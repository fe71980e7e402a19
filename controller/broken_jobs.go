package controller

import (
	"log/slog"
	"time"
)

// Detection of broken jobs and faulty machines.
//
// A job submitted with a mistake fails on every machine until its user cancels it. Workers report
// such a failure in the same way as one caused by a faulty machine. A failure therefore makes the
// job avoid the machine, but counts against the machine only once the job has run elsewhere. Once
// package failureclass classifies the job as broken, its retry backoff grows further.

// taskFailed handles an attempt that ended with an error.
func (l *leader) taskFailed(a *attempt) {
	j, m := a.job, a.machine
	var ran time.Duration
	if !a.runningSince.IsZero() {
		ran = l.c.now.Sub(a.runningSince)
	}
	if j.failureClass.RecordFailure(m.id, ran) {
		attempts, lost := j.failureClass.FailureCost()
		l.c.log(slog.LevelInfo, "job fails on every machine", "job", j.id, "machines", len(j.failureClass.Machines()),
			"failed_attempts", attempts, "machine_time_lost", lost)
	}
	m.failedJobs[j.id] = true
	if j.failureClass.Broken() {
		clear(j.avoidedMachines) // it fails everywhere, so no machine is worse than another
		return
	}
	j.avoidedMachines[m.id] = true
	if len(j.avoidedMachines) >= max(2, len(l.machines)/2) {
		clear(j.avoidedMachines) // it fails everywhere, so no machine is worse than another
	}
}

// minRunElsewhere is how long a task of a job that failed on one machine must have run on another
// one before the failure counts against the first. A job that fails everywhere fails sooner than this.
const minRunElsewhere = 10 * time.Second

// faulty reports whether at least two jobs that run elsewhere have failed on a machine, which shows
// that the fault is on the machine.
func (l *leader) faulty(m *machine) bool {
	if len(m.failedJobs) < 2 {
		return false
	}
	runElsewhere := 0
	for id := range m.failedJobs {
		if l.runsElsewhere(id, m) {
			runElsewhere++
		}
	}
	return runElsewhere >= 2
}

// runsElsewhere reports whether a job that failed on machine m has shown that it can run: one of its
// tasks has succeeded, or one has run on another machine for minRunElsewhere. A job that has
// ended gives no evidence, because it may have been cancelled for its failures.
func (l *leader) runsElsewhere(id string, m *machine) bool {
	j := l.jobs[id]
	if j == nil {
		return false
	}
	if j.failureClass.HasSucceeded() {
		return true
	}
	for _, a := range j.attempts {
		if a.machine != m && a.phase >= attemptRunning && l.c.now.Sub(a.runningSince) >= minRunElsewhere {
			return true
		}
	}
	return false
}
