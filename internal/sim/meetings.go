package sim

import (
	"slices"
	"time"
)

// MeetingDay plays a day on which troubles come in pairs, the second while the first
// lasts: most rules that were ever broken broke there. One of each pair is of those
// that change what the world does for a while, the other any trouble.
func MeetingDay(w *World, troubles, calm time.Duration) {
	u := w.users
	u.stop = troubles
	w.after(time.Second, func() { u.arrive(w.shape.Arrive) })
	w.after(troubles, func() {
		w.calmFrom = w.now
		w.watchWaiting(5 * time.Second)
	})
	w.after(5*time.Second, u.strangers)
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
			w.after(min(w.leaseTime()+lasting, max(end-w.now, 0)), func() {
				w.faults.island = island{}
				n.cutOff = false
				w.store.notify()
			})
		},
		func() { // much more work than room, over slow links
			w.faults.slowLinks = time.Duration(share * float64(400*time.Millisecond))
			undo(func() { w.faults.slowLinks = 0 })
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
			for i, n := range w.nodes {
				n.crash(min(w.leaseTime()+time.Duration(i)*short, max(end-w.now, short)))
			}
		},
	}
	return kinds[pick%uint64(len(kinds))]
}

func (w *World) leaseTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.LeaseS * float64(time.Second))
}

// leading is the node that leads, or the first.
func (w *World) leading() *node {
	return w.nodes[max(slices.IndexFunc(w.nodes, (*node).leads), 0)]
}

// leads tells whether a node believes now that it may act for all.
func (n *node) leads() bool { return n.core != nil && n.clock().Before(n.core.Authority()) }
