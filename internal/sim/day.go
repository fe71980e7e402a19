package sim

import (
	"slices"
	"time"

	"pumicefront/wire"
)

// Day plays a day with troubles drawn from the seed, then a calm in which
// everything accepted must come to its end.
func Day(w *World, troubles, calm time.Duration) {
	w.begin(troubles)
	for at := 25 * time.Second; at < troubles; at += w.between(4*time.Second, 20*time.Second) {
		trouble := w.trouble(troubles)
		w.after(at, trouble)
	}
	w.Run(troubles + calm)
	if len(w.Rules) == 0 {
		w.checkEnds()
	}
}

// begin has users come until the troubles are over.
func (w *World) begin(troubles time.Duration) {
	u := w.users
	u.stop = troubles
	w.after(time.Second, func() { u.arrive(w.shape.Arrive) })
	w.after(troubles, func() { w.calmFrom = w.now })
	w.after(5*time.Second, u.strangers)
}

// trouble draws one trouble; everything is whole again when troubles end.
func (w *World) trouble(end time.Duration) func() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	lasting := w.between(3*time.Second, 30*time.Second)
	undo := func(fn func()) { w.after(min(lasting, max(end-w.now, 0)), fn) }
	down := w.between(100*time.Millisecond, 6*time.Second)
	soon := w.between(20*time.Millisecond, 400*time.Millisecond)
	pick := w.rng.Uint64()
	up := func() []*host {
		return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.gone || h.up > w.now })
	}
	someHost := func(fn func(h *host)) {
		if hosts := up(); len(hosts) > 0 {
			fn(hosts[pick%uint64(len(hosts))])
		}
	}
	share := 0.1 + 0.6*w.rng.Float64()
	manyHosts := func(fn func(h *host)) {
		for _, h := range up() {
			if w.chance(share) {
				fn(h)
			}
		}
	}
	kinds := []func(){
		func() { n.crash(down) },
		func() {
			for _, x := range w.nodes {
				x.crash(down)
			}
		},
		func() { w.store.setOutage(true); undo(func() { w.store.setOutage(false) }) },
		func() {
			w.store.setOutage(true)
			n.crash(down)
			undo(func() { w.store.setOutage(false) })
		},
		func() { n.refused = true; undo(func() { n.refused = false; w.store.notify() }) },
		func() {
			n.refused, n.meshCut = true, true
			undo(func() { n.refused, n.meshCut = false, false; w.store.notify() })
		},
		func() { n.deaf = true; undo(func() { n.deaf = false }) },
		func() { n.cutOff = true; undo(func() { n.cutOff = false; w.store.notify() }) },
		func() {
			n.cutOff = true
			for _, x := range w.nodes {
				if x != n {
					x.crash(down)
				}
			}
			undo(func() { n.cutOff = false; w.store.notify() })
		},
		func() { n.stand(lasting) },
		func() { n.stand(down / 3) },
		func() {
			for _, x := range w.nodes {
				x.stand(w.between(0, lasting))
			}
		},
		func() { // while another has to take over, and may be gone too
			n.stand(lasting)
			w.after(w.between(0, 4*time.Second), func() { w.nodes[(n.i+1)%len(w.nodes)].crash(soon) })
		},
		func() {
			w.store.setOutage(true)
			n.stand(lasting / 2)
			undo(func() { w.store.setOutage(false) })
		},
		func() { n.crash(soon); w.after(soon+w.between(0, 2*time.Second), func() { n.crash(soon) }) },
		func() {
			w.store.setOutage(true)
			w.after(w.between(time.Second, 4*time.Second), func() { n.crash(soon) })
			undo(func() { w.store.setOutage(false) })
		},
		func() { // leases run out, and the controllers are back one by one
			for _, x := range w.nodes {
				x.refused = true
				lasts := min(lasting/4+w.between(0, 4*time.Second), max(end-w.now, 0))
				w.after(lasts, func() { x.refused = false; w.store.notify() })
			}
			w.after(w.between(0, 3*time.Second), func() { n.crash(soon) })
		},
		func() { someHost(func(h *host) { h.restart(soon) }) },
		func() { someHost(func(h *host) { h.muted = true; undo(func() { h.muted = false }) }) },
		func() { someHost(func(h *host) { h.muted = true; undo(func() { h.muted = false; h.restart(soon) }) }) },
		func() { manyHosts(func(h *host) { h.setCut(true); undo(func() { h.setCut(false) }) }) },
		func() { manyHosts(func(h *host) { h.setHung(true); undo(func() { h.setHung(false) }) }) },
		func() { manyHosts(func(h *host) { h.vanish() }) },
		func() { manyHosts(func(h *host) { h.restart(w.between(20*time.Millisecond, 6*time.Second)) }) },
		func() {
			n.crash(down)
			manyHosts(func(h *host) { h.setCut(true); undo(func() { h.setCut(false) }) })
		},
		func() { w.cloud.outage = true; undo(func() { w.cloud.outage = false }) },
		func() { someHost(func(h *host) { h.setCut(true); undo(func() { h.setCut(false) }) }) },
		func() { someHost(func(h *host) { h.setHung(true); undo(func() { h.setHung(false) }) }) },
		func() { someHost(func(h *host) { h.vanish() }) },
		func() { someHost(func(h *host) { h.notice = true; w.after(5*time.Second, h.vanish) }) },
	}
	return kinds[w.rng.IntN(len(kinds))]
}

// checkEnds checks that every accepted array that nobody cancelled is done, and
// that something has run at all.
func (w *World) checkEnds() {
	ran := false
	for _, j := range w.users.list {
		for _, d := range j.done {
			ran = ran || d
		}
		if j.accepted && !j.mayBeOff() && j.spec.Kind == wire.KindArray && !j.doneTold {
			w.broken("unfinished", "%s is not called done, %d of %d tasks left: %+v", j.spec.ID, j.left(), j.spec.Tasks, j.spec)
		}
	}
	if !ran {
		w.broken("nothing_ran", "no task has finished")
	}
}
