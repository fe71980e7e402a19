package sim

import (
	"net/http"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// waitsToBegin reports whether nothing of an accepted job that nobody cancelled has run.
func (j *simJob) waitsToBegin() bool { return j.accepted && !j.begun && !j.mayBeCancelled() }

func (w *World) leaseTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.LeaseS * float64(time.Second))
}

// leading is the node that leads, or the first.
func (w *World) leading() *node {
	return w.nodes[max(slices.IndexFunc(w.nodes, (*node).leads), 0)]
}

// leads reports whether a node believes now that it may act for all.
func (n *node) leads() bool { return n.core != nil && n.clock().Before(n.core.Authority()) }

// The combinations, as runs note that they came about. A run of pairs is worth nothing if
// its faults pass each other by.

// noteRenewal notes a renewal by a leader that hears nothing from the state service,
// while tasks of a job run whose user was told that it is cancelled.
func (w *World) noteRenewal(n *node) {
	if !w.store.outage {
		return
	}
	w.running(func(_ *host, t *task) {
		if t.job.cancelTold {
			w.coverage["leases renewed in an outage after a cancellation was told"]++
			if n.refused {
				w.coverage["by a leader that had been refused alone"]++
			}
		}
	})
}

// noteLeaderChange notes what a change of leaders meets.
func (w *World) noteLeaderChange(n *node) {
	if n == w.lastLeader || w.lastLeader == nil {
		w.lastLeader = n
		return
	}
	if w.now-w.leaderSince < 4*time.Second {
		w.coverage["leaders change twice within four seconds"]++
	}
	w.lastLeader, w.leaderSince = n, w.now
	full := map[string]float64{}
	w.running(func(_ *host, t *task) { full[t.job.spec.Team] += t.job.spec.CPUs })
	w.running(func(h *host, t *task) {
		away := h.cut || h.hung || h.receivesNothing || h.sendsNothing
		if away {
			w.coverage["leaders change while tasks are on machines that can't be reached"]++
		}
		if away && t.job.cancelTold && full[t.job.spec.Team] > w.team(t.job.spec.Team).CPUsMax-4 {
			w.coverage["the same with a team at its limit and its job cancelled"]++
		}
	})
}

// noteLeaderEnd notes what the end of a leader meets.
func (w *World) noteLeaderEnd(down time.Duration) {
	if down < time.Second {
		w.coverage["a leader ends and is back within a second"]++
	}
	if w.store.outage {
		w.coverage["a leader ends in an outage"]++
	}
	w.running(func(h *host, _ *task) {
		if w.faults.fastBoots && w.faults.slowState > 0 && w.now-h.up < 5*time.Second {
			w.coverage["a leader ends while writes lag and machines just up have work"]++
		}
	})
}

// noteCancellation notes what a confirmed cancellation meets.
func (w *World) noteCancellation(j *simJob) {
	if w.now-w.leaderSince < 3*time.Second {
		w.coverage["a cancellation told as leaders change"]++
	}
	if w.faults.slowState > 0 {
		w.coverage["a cancellation told while the state service is slow"]++
	}
	for _, n := range w.nodes {
		if n.isolated && n == w.lastLeader {
			w.coverage["a cancellation told by others while the leader has its workers alone"]++
		}
	}
	w.running(func(h *host, t *task) {
		if t.job == j && h.hung {
			w.coverage["a cancellation told while a machine of the job hangs"]++
		}
	})
}

// noteLostAnswer notes a transaction whose answer is lost.
func (w *World) noteLostAnswer(sent time.Duration, r controller.StateReply) {
	switch late := w.now-sent > time.Second; {
	case r.Status != http.StatusOK && late:
		w.coverage["a late transaction refused for newer ones"]++
	case r.Status == http.StatusOK && late:
		w.coverage["a late transaction carried out"]++
	case r.Status == http.StatusOK:
		w.coverage["a transaction carried out, its answer lost"]++
	}
}

// noteCommand notes a direct command that arrives when its sender has given it up, or
// where no report goes out.
func (w *World) noteCommand(h *host, answer bool, status int) {
	switch {
	case !answer && status == http.StatusOK:
		w.coverage["a held command, or one with its answer held, is carried out"]++
	case h.sendsNothing:
		w.coverage["a direct command reaches a machine that reaches nobody"]++
	}
}

// noteOldReport notes a copy of a report that arrives after newer ones.
func (w *World) noteOldReport(h *host, n *node, r *wire.Report) {
	if r.Session < h.session {
		w.coverage["a report from an earlier session arrives"]++
	}
	if n.leads() && w.now-w.leaderSince < 2*time.Second && r.Token < w.topToken {
		w.coverage["an old report arrives as a new leader begins"]++
	}
}

// noteTaskEnd notes jobs of a few tasks whose ends are on both sides of a change of leaders.
func (w *World) noteTaskEnd(j *simJob) {
	if j.firstEnd == 0 {
		j.firstEnd = w.now
	} else if j.spec.Tasks <= 3 && j.firstEnd < w.leaderSince {
		w.coverage["tasks of a small job end on both sides of a change of leaders"]++
	}
}

// noteLostTasks notes jobs bound to a zone that lose a machine.
func (w *World) noteLostTasks(h *host) {
	for _, t := range h.tasks {
		if t.onMachine() && (t.job.spec.Zone != "" || t.job.spec.OneZone) {
			w.coverage["a job bound to a zone loses a machine"]++
		}
	}
}
