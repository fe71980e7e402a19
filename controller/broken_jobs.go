package controller

import (
	"log/slog"
	"time"
)

// Jobs submitted with a mistake fail on every machine until their users cancel them. The
// workers report that as they report a faulty machine. So a failure makes the job avoid
// the machine, but counts against the machine only once the job has shown elsewhere that
// it can run; and once package failureclass takes the job for broken, its retries back
// off further.

// taskFailed handles an attempt that ended with an error.
func (l *leader) taskFailed(a *attempt) {
	j, m := a.job, a.machine
	var ran time.Duration
	if !a.since.IsZero() {
		ran = l.c.now.Sub(a.since)
	}
	if j.failures.Failed(m.id, ran) {
		attempts, lost := j.failures.Lost()
		l.c.log(slog.LevelInfo, "job fails on every machine", "job", j.id, "machines", len(j.failures.Machines()),
			"failed_attempts", attempts, "machine_time_lost", lost)
	}
	m.faults[j.id] = true
	if j.failures.Broken() {
		clear(j.avoid) // it fails everywhere: any machine is as good
		return
	}
	j.avoid[m.id] = true
	if len(j.avoid) >= max(2, len(l.machines)/2) {
		clear(j.avoid) // it fails everywhere: any machine is as good
	}
}

// faultyAfter is how long a job that failed on a machine must have run on another one before
// its failure counts against the machine. A job that fails everywhere fails there sooner.
const faultyAfter = 10 * time.Second

// faulty reports whether unlike jobs have failed on a machine that have shown elsewhere
// that they can run: the fault is the machine's.
func (l *leader) faulty(m *machine) bool {
	if len(m.faults) < 2 {
		return false
	}
	standing := 0
	for id := range m.faults {
		if l.runsElsewhere(id, m) {
			standing++
		}
	}
	return standing >= 2
}

// runsElsewhere reports whether a job that failed on machine m has shown that it can run: a
// task of it ended well, or one has run on another machine for faultyAfter. A job that is
// over shows nothing more: it may have been cancelled for its failures.
func (l *leader) runsElsewhere(id string, m *machine) bool {
	j := l.jobs[id]
	if j == nil {
		return false
	}
	if j.failures.HasSucceeded() {
		return true
	}
	for _, a := range j.attempts {
		if a.machine != m && a.phase >= attemptRunning && l.c.now.Sub(a.since) >= faultyAfter {
			return true
		}
	}
	return false
}
