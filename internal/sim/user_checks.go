package sim

import (
	"slices"
	"time"
)

// told is what the users know for good about a job at some time: whether it was reported
// done or cancelled, and whether it is orphaned. A job is orphaned once the time for the
// cancellation of a job that it needs has passed: it may then neither be queued nor run.
type told struct {
	done, cancelled, orphaned bool
	at                        time.Duration // the time of this knowledge
}

// told returns what the users know for good about a job now.
func (w *World) told(j *simJob) told {
	at, off := j.neededCancelled()
	return told{j.doneTold, j.cancelTold, off && w.now > at+w.cancelTime(), w.now}
}

// neededCancelled reports whether a job that this one needs, directly or through others,
// was reported cancelled to its user, and when the first of them was.
func (j *simJob) neededCancelled() (at time.Duration, off bool) {
	for _, p := range j.needs {
		t, o := p.neededCancelled()
		if p.cancelTold && (!o || p.cancelledAt < t) {
			t, o = p.cancelledAt, true
		}
		if o && (!off || t < at) {
			at, off = t, true
		}
	}
	return at, off
}

// mayBeCancelled reports whether a job may end as cancelled: a user has requested it for this
// job, or for one that it needs directly or through others, and the job was not reported
// done.
func (j *simJob) mayBeCancelled() bool {
	return !j.doneTold && (j.askedCancel || slices.ContainsFunc(j.needs, (*simJob).mayBeCancelled))
}
