package sim

import (
	"net/http"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// MeetingDay plays a day on which troubles come in pairs, the second while the first
// lasts: most rules that were ever broken broke there. One of each pair is of those
// that change what the world does for a while, the other any trouble.
func MeetingDay(w *World, troubles, calm time.Duration) {
	w.begin(troubles)
	w.after(troubles, func() { w.watchWaiting(5 * time.Second) })
	if w.shape.Chains {
		for at := 3 * time.Second; at < troubles-20*time.Second; at += w.between(2*time.Second, 14*time.Second) {
			w.after(at, w.users.pipeline)
		}
		w.after(w.between(20*time.Second, troubles), func() {
			w.met["the state service lowers its limits"]++
			w.store.lower()
		})
	}
	for at := 20 * time.Second; at < troubles; at += w.between(4*time.Second, 16*time.Second) {
		w.after(at, w.meeting(troubles))
		w.after(at+w.between(0, 3*time.Second), w.trouble(troubles))
	}
	w.Run(troubles + calm)
	if len(w.Rules) == 0 {
		w.checkEnds()
		w.checkServed()
	}
}

// meeting draws one of the troubles that others meet.
func (w *World) meeting(end time.Duration) func() {
	lasting := w.between(4*time.Second, 30*time.Second)
	share := 0.05 + 0.5*w.rng.Float64()
	hang := w.between(2*time.Second, 20*time.Second)
	short := w.between(50*time.Millisecond, 900*time.Millisecond)
	count := 1 + w.rng.IntN(12)
	pick := w.rng.Uint64()
	undo := func(fn func()) { w.after(min(lasting, max(end-w.now, 0)), fn) }
	raise := func(f *float64) func() {
		return func() { *f = share; undo(func() { *f = 0 }) }
	}
	some := func(fn func(h *host, on bool)) func() {
		return func() {
			for _, h := range w.hosts {
				if !h.gone && h.up <= w.now && w.chance(share) {
					fn(h, true)
					undo(func() { fn(h, false) })
				}
			}
		}
	}
	refuse := func(n *node, lasts time.Duration) {
		n.refused = true
		w.after(min(lasts, max(end-w.now, 0)), func() { n.refused = false; w.store.notify() })
	}
	kinds := []func(){
		raise(&w.faults.lateWrites),
		raise(&w.faults.lostAnswers),
		raise(&w.faults.heldCommands),
		raise(&w.faults.heldAnswers),
		raise(&w.faults.copies),
		raise(&w.faults.forNext),
		raise(&w.faults.cancelAtEnd),
		func() {
			w.faults.slowState = time.Duration(share * float64(2*time.Second))
			undo(func() { w.faults.slowState = 0 })
		},
		func() { w.faults.quickBoots = true; undo(func() { w.faults.quickBoots = false }) },
		func() { w.faults.closeLooks = true; undo(func() { w.faults.closeLooks = false }) },
		some(func(h *host, on bool) { h.muted = on }),
		some(func(h *host, on bool) { h.shut = on }),
		func() { w.users.callOff(count, 0) },
		func() { w.users.callOff(count, hang) },
		func() { // many odd requests
			for range 20 {
				w.after(w.between(0, lasting), w.users.oddRequests)
			}
		},
		func() { // one-task jobs, four a second, a quarter of them called off
			for at := time.Duration(0); at < lasting; at += 250 * time.Millisecond {
				w.after(at, func() {
					if w.now < end {
						w.users.submitOne()
					}
				})
			}
		},
		func() { // the leader is refused, others confirm cancellations, then all are refused for long
			l := w.leading()
			refuse(l, w.cancelTime()+lasting)
			w.after(w.between(0, 500*time.Millisecond), func() { w.users.callOff(count, 0) })
			w.after(w.between(600*time.Millisecond, 2*time.Second), func() {
				w.store.setOutage(true)
				w.after(min(w.cancelTime()+hang, max(end-w.now, 0)), func() { w.store.setOutage(false) })
			})
		},
		func() { // hand over and back, jobs called off meanwhile
			for range 4 {
				w.after(w.between(0, 4*time.Second), func() { w.leading().crash(short) })
			}
			w.after(w.between(0, 2*time.Second), func() { w.users.callOff(count, 0) })
		},
		func() { // leaders change ten times, and the state service may be out for a part of it
			for i := range 10 {
				w.after(time.Duration(i)*2*time.Second, func() {
					if w.now < end {
						refuse(w.leading(), 2*time.Second)
					}
				})
			}
		},
		func() { // the leader keeps its workers and users, and loses all else
			l := w.leading()
			l.cutOff = true
			w.after(w.between(0, 2*time.Second), func() { w.users.callOff(count, 0) })
			undo(func() { l.cutOff = false; w.store.notify() })
		},
		func() { // a zone with a controller is cut off, for longer than a lease
			n := w.nodes[pick>>8%uint64(len(w.nodes))]
			w.faults.island = island{"a", n}
			n.cutOff = true
			w.users.callOff(count, 0)
			since := w.now
			w.after(min(w.leaseTime()+lasting, max(end-w.now, 0)), func() {
				if w.now-since > w.leaseTime() {
					w.met["a zone with a controller cut off"]++
				}
				w.faults.island = island{}
				n.cutOff = false
				w.store.notify()
			})
		},
		func() { // much more work than room, over slow links
			w.faults.slowLinks = time.Duration(share * float64(400*time.Millisecond))
			undo(func() {
				w.faults.slowLinks = 0
				if slices.ContainsFunc(w.users.list, (*simJob).waitsToBegin) {
					w.met["much more work than room over slow links"]++
				}
			})
			for range 8 {
				w.users.submitNew()
			}
		},
		func() { // machines get work as soon as they are up, while writes lag, and the leader ends
			w.faults.quickBoots, w.faults.slowState = true, time.Duration(share*float64(2*time.Second))
			undo(func() { w.faults.quickBoots, w.faults.slowState = false, 0 })
			for range 4 {
				w.users.submitNew()
			}
			w.after(w.between(500*time.Millisecond, 6*time.Second), func() { w.leading().crash(short) })
		},
		func() { // work beyond every team's limit, jobs called off whose machines hang, the leader ends
			for range 12 {
				w.users.submitNew()
			}
			w.after(lasting/4, func() { w.users.callOff(count, hang) })
			w.after(lasting/4+w.between(0, time.Second), func() { w.leading().crash(short) })
		},
		func() { // all end for longer than a lease, and one returns first
			w.after(w.leaseTime()-time.Millisecond, func() { // the first returns right after
				if !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.core != nil }) {
					w.met["all controllers away for longer than a lease"]++
				}
			})
			for i, n := range w.nodes {
				n.crash(min(w.leaseTime()+time.Duration(i)*short, max(end-w.now, short)))
			}
		},
	}
	return kinds[pick%uint64(len(kinds))]
}

// waitsToBegin tells whether nothing of an accepted job that nobody called off has run.
func (j *simJob) waitsToBegin() bool { return j.accepted && !j.begun && !j.mayBeOff() }

func (w *World) leaseTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.LeaseS * float64(time.Second))
}

// leading is the node that leads, or the first.
func (w *World) leading() *node {
	return w.nodes[max(slices.IndexFunc(w.nodes, (*node).leads), 0)]
}

// leads tells whether a node believes now that it may act for all.
func (n *node) leads() bool { return n.core != nil && n.clock().Before(n.core.Authority()) }

// The meetings, as days note that they came about. A day of pairs is worth nothing if
// its troubles pass each other by.

// answersReport notes a renewal by a leader that hears nothing from the state service,
// while tasks of a job run whose user was told that it is called off.
func (w *World) answersReport(n *node) {
	if !w.store.outage {
		return
	}
	w.running(func(_ *host, t *task) {
		if t.job.cancelTold {
			w.met["leases renewed in an outage after a cancellation was told"]++
			if n.refused {
				w.met["by a leader that had been refused alone"]++
			}
		}
	})
}

// leaderActs notes what a change of leaders meets.
func (w *World) leaderActs(n *node) {
	if n == w.led || w.led == nil {
		w.led = n
		return
	}
	if w.now-w.ledSince < 4*time.Second {
		w.met["leaders change twice within four seconds"]++
	}
	w.led, w.ledSince = n, w.now
	full := map[string]float64{}
	w.running(func(_ *host, t *task) { full[t.job.spec.Team] += t.job.spec.CPUs })
	w.running(func(h *host, t *task) {
		away := h.cut || h.hung || h.muted || h.shut
		if away {
			w.met["leaders change while tasks are on machines that can't be reached"]++
		}
		if away && t.job.cancelTold && full[t.job.spec.Team] > w.team(t.job.spec.Team).CPUsMax-4 {
			w.met["the same with a team at its limit and its job called off"]++
		}
	})
}

// leaderEnds notes what the end of a leader meets.
func (w *World) leaderEnds(down time.Duration) {
	if down < time.Second {
		w.met["a leader ends and is back within a second"]++
	}
	if w.store.outage {
		w.met["a leader ends in an outage"]++
	}
	w.running(func(h *host, _ *task) {
		if w.faults.quickBoots && w.faults.slowState > 0 && w.now-h.up < 5*time.Second {
			w.met["a leader ends while writes lag and machines just up have work"]++
		}
	})
}

// calledOff notes what a confirmed cancellation meets.
func (w *World) calledOff(j *simJob) {
	if w.now-w.ledSince < 3*time.Second {
		w.met["a cancellation told as leaders change"]++
	}
	if w.faults.slowState > 0 {
		w.met["a cancellation told while the state service is slow"]++
	}
	for _, n := range w.nodes {
		if n.cutOff && n == w.led {
			w.met["a cancellation told by others while the leader has its workers alone"]++
		}
	}
	w.running(func(h *host, t *task) {
		if t.job == j && h.hung {
			w.met["a cancellation told while a machine of the job hangs"]++
		}
	})
}

// carriedOut notes a transaction whose answer is lost.
func (w *World) carriedOut(sent time.Duration, r controller.StateReply) {
	switch late := w.now-sent > time.Second; {
	case r.Status != http.StatusOK && late:
		w.met["a late transaction refused for newer ones"]++
	case r.Status == http.StatusOK && late:
		w.met["a late transaction carried out"]++
	case r.Status == http.StatusOK:
		w.met["a transaction carried out, its answer lost"]++
	}
}

// commanded notes a direct command that arrives when its sender has given it up, or
// where no report goes out.
func (w *World) commanded(h *host, answer bool, status int) {
	switch {
	case !answer && status == http.StatusOK:
		w.met["a held command, or one with its answer held, is carried out"]++
	case h.shut:
		w.met["a direct command reaches a machine that reaches nobody"]++
	}
}

// oldReport notes a copy of a report that arrives after newer ones.
func (w *World) oldReport(h *host, n *node, r *wire.Report) {
	if r.Session < h.session {
		w.met["a report from an earlier session arrives"]++
	}
	if n.leads() && w.now-w.ledSince < 2*time.Second && r.Token < w.topToken {
		w.met["an old report arrives as a new leader begins"]++
	}
}

// taskEnded notes jobs of a few tasks whose ends are on both sides of a change of leaders.
func (w *World) taskEnded(j *simJob) {
	if j.firstEnd == 0 {
		j.firstEnd = w.now
	} else if j.spec.Tasks <= 3 && j.firstEnd < w.ledSince {
		w.met["tasks of a small job end on both sides of a change of leaders"]++
	}
}

// losesTasks notes jobs bound to a zone that lose a machine.
func (w *World) losesTasks(h *host) {
	for _, t := range h.tasks {
		if t.onMachine() && (t.job.spec.Zone != "" || t.job.spec.OneZone) {
			w.met["a job bound to a zone loses a machine"]++
		}
	}
}
