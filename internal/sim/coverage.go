package sim

import (
	"net/http"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// waitsForStart reports whether no task of an accepted job has started yet. Jobs that may
// be cancelled don't count.
func (j *simJob) waitsForStart() bool { return j.accepted && !j.hasStarted && !j.mayBeCancelled() }

func (w *World) leaseTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.LeaseS * float64(time.Second))
}

// leaderOrFirst returns the controller that leads, or the first controller if none does.
func (w *World) leaderOrFirst() *member {
	return w.controllers[max(slices.IndexFunc(w.controllers, (*member).isLeader), 0)]
}

// isLeader reports whether the controller holds the leader's authority by its own clock.
func (n *member) isLeader() bool { return n.core != nil && n.clock().Before(n.core.Authority()) }

// The functions below count the combinations of faults that occur in a run. The tests that
// simulate overlapping faults require each combination to occur in at least one of their
// runs, because faults that don't overlap test nothing beyond the single faults.

// recordRenewal counts renewals of a worker's lease during an outage of the state service,
// while tasks run of a job that was reported cancelled to its user.
func (w *World) recordRenewal(n *member) {
	if !w.store.outage {
		return
	}
	w.forEachRunningTask(func(_ *host, t *task) {
		if t.job.reportedCancelled {
			w.coverage["leases renewed in an outage after a cancellation was reported"]++
			if n.stateRefused { // besides the outage, the state service refuses the calls of this leader
				w.coverage["leases renewed in an outage by a leader that only the state service had refused before"]++
			}
		}
	})
}

// recordLeaderChange counts the conditions under which another controller becomes leader.
func (w *World) recordLeaderChange(n *member) {
	if n == w.lastLeader || w.lastLeader == nil {
		w.lastLeader = n
		return
	}
	if w.now-w.leaderSince < 4*time.Second {
		w.coverage["leaders change twice within four seconds"]++
	}
	w.lastLeader, w.leaderSince = n, w.now
	cores := map[string]float64{}
	w.forEachRunningTask(func(_ *host, t *task) { cores[t.job.spec.Team] += t.job.spec.CPUs })
	w.forEachRunningTask(func(h *host, t *task) {
		unreachable := h.partitioned || h.hung || h.receivesNothing || h.sendsNothing
		if unreachable {
			w.coverage["leaders change while tasks are on machines that can't be reached"]++
		}
		if unreachable && t.job.reportedCancelled && cores[t.job.spec.Team] > w.team(t.job.spec.Team).CPUsMax-4 {
			w.coverage["leaders change while tasks of a cancelled job are on machines that can't be reached, its team near its limit"]++
		}
	})
}

// recordLeaderEnd counts the conditions under which a leader crashes.
func (w *World) recordLeaderEnd(downtime time.Duration) {
	if downtime < time.Second {
		w.coverage["a leader crashes and restarts within a second"]++
	}
	if w.store.outage {
		w.coverage["a leader crashes in an outage"]++
	}
	w.forEachRunningTask(func(h *host, _ *task) {
		if w.faults.fastBoots && w.faults.slowState > 0 && w.now-h.bootedAt < 5*time.Second {
			w.coverage["a leader crashes while the state service is slow and newly booted machines have work"]++
		}
	})
}

// recordCancellation counts the conditions under which a cancellation is confirmed to a user.
func (w *World) recordCancellation(j *simJob) {
	if w.now-w.leaderSince < 3*time.Second {
		w.coverage["a cancellation reported as leaders change"]++
	}
	if w.faults.slowState > 0 {
		w.coverage["a cancellation reported while the state service is slow"]++
	}
	for _, n := range w.controllers {
		if n.cutFromStateAndPeers && n == w.lastLeader {
			w.coverage["a cancellation reported by other controllers while the leader reaches only workers and users"]++
		}
	}
	w.forEachRunningTask(func(h *host, t *task) {
		if t.job == j && h.hung {
			w.coverage["a cancellation reported while a machine of the job hangs"]++
		}
	})
}

// recordLostAnswer counts transactions whose answer is lost.
func (w *World) recordLostAnswer(sent time.Duration, r controller.StateReply) {
	switch late := w.now-sent > time.Second; {
	case r.Status != http.StatusOK && late:
		w.coverage["a late transaction refused"]++
	case r.Status == http.StatusOK && late:
		w.coverage["a late transaction carried out"]++
	case r.Status == http.StatusOK:
		w.coverage["a transaction carried out, its answer lost"]++
	}
}

// recordCommand counts direct commands that are executed without an answer to their sender,
// and those that reach a machine which can't send reports.
func (w *World) recordCommand(h *host, answer bool, status int) {
	switch {
	case !answer && status == http.StatusOK:
		w.coverage["a delayed or repeated command, or one whose answer is lost, is carried out"]++
	case h.sendsNothing:
		w.coverage["a direct command reaches a machine that can't reach controllers"]++
	}
}

// recordOldReport counts copies of reports that arrive in a later session of their worker, and those with an
// outdated token that reach a new leader within two seconds of its start.
func (w *World) recordOldReport(h *host, n *member, r *wire.Report) {
	if r.Session < h.session {
		w.coverage["a report from an earlier session arrives"]++
	}
	if n.isLeader() && w.now-w.leaderSince < 2*time.Second && r.Token < w.highestToken {
		w.coverage["an old report arrives as a new leader begins"]++
	}
}

// recordTaskEndCoverage counts tasks of small jobs that end after a change of leaders, when another
// task of the job ended before it.
func (w *World) recordTaskEndCoverage(j *simJob) {
	if j.firstTaskEnd == 0 {
		j.firstTaskEnd = w.now
	} else if j.spec.Tasks <= 3 && j.firstTaskEnd < w.leaderSince {
		w.coverage["tasks of a small job end on both sides of a change of leaders"]++
	}
}

// recordLostTasks counts the tasks lost with a machine whose jobs must run in one zone.
func (w *World) recordLostTasks(h *host) {
	for _, t := range h.tasks {
		if t.onMachine() && (t.job.spec.Zone != "" || t.job.spec.OneZone) {
			w.coverage["a job pinned to a zone loses a machine"]++
		}
	}
}
