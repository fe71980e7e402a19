package sim

import (
	"slices"
	"time"
)

// told is what a job's user has been told for good, and whether a job before it has been
// cancelled for so long that no task and no other state of it may be left.
type told struct {
	done, cancelled, orphaned bool
	at                        time.Duration // when that was so
}

func (w *World) told(j *simJob) told {
	at, off := j.neededCancelled()
	return told{j.doneTold, j.cancelTold, off && w.now > at+w.cancelTime(), w.now}
}

// neededCancelled reports whether and since when the user of a job before this one has been
// told that it is cancelled.
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

// mayBeCancelled reports whether a job may be cancelled: somebody has asked for it, or for one before
// it, and has not been told that it is done.
func (j *simJob) mayBeCancelled() bool {
	return !j.doneTold && (j.askedCancel || slices.ContainsFunc(j.needs, (*simJob).mayBeCancelled))
}
