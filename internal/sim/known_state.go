package sim

import (
	"slices"
	"time"
)

// knownState holds the facts about a job that users know at some time and that must not change
// afterwards: whether the job was reported done or cancelled, and whether it is orphaned. A job
// is orphaned once a job that it needs, directly or through others, was reported cancelled more
// than cancelTime ago: the orphaned job may then neither be queued nor run.
type knownState struct {
	done, cancelled, orphaned bool
	at                        time.Duration // when the facts were recorded
}

// knownState returns the facts about a job that users know now and that must not change.
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

// mayBeCancelled reports whether a job may end as cancelled: a user has requested the
// cancellation of this job, or of one that it needs directly or through others, and no job
// on the path of needs between the two, both included, was reported done.
func (j *simJob) mayBeCancelled() bool {
	return !j.reportedDone && (j.cancelRequested || slices.ContainsFunc(j.needs, (*simJob).mayBeCancelled))
}
