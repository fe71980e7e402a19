package sim

import (
	"slices"
	"time"
)

// knownState is what the users know for good about a job at some time: whether it was
// reported done or cancelled, and whether it is orphaned. A job is orphaned once the time
// for the cancellation of a job that it needs has passed: it may then neither be queued nor
// run.
type knownState struct {
	done, cancelled, orphaned bool
	at                        time.Duration // the time of this knowledge
}

// knownState returns what the users know for good about a job now.
func (w *World) knownState(j *simJob) knownState {
	at, cancelled := j.neededJobCancelled()
	return knownState{j.reportedDone, j.reportedCancelled, cancelled && w.now > at+w.cancelTime(), w.now}
}

// neededJobCancelled reports whether a job that this one needs, directly or through others,
// was reported cancelled to its user, and when the first of them was.
func (j *simJob) neededJobCancelled() (at time.Duration, cancelled bool) {
	for _, p := range j.needs {
		t, ok := p.neededJobCancelled()
		if p.reportedCancelled && (!ok || p.cancelledAt < t) {
			t, ok = p.cancelledAt, true
		}
		if ok && (!cancelled || t < at) {
			at, cancelled = t, true
		}
	}
	return at, cancelled
}

// mayBeCancelled reports whether a job may end as cancelled: a user has requested it for
// this job, or for one that it needs directly or through others, and no job
// from that one to this one was reported done.
func (j *simJob) mayBeCancelled() bool {
	return !j.reportedDone && (j.cancelRequested || slices.ContainsFunc(j.needs, (*simJob).mayBeCancelled))
}
