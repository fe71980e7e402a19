package sim

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"pumicefront/wire"
)

// What a zone's loss and return cost, with and without zone recovery.

// zoneMeasure is what is measured of one run in which a zone is lost and returns.
type zoneMeasure struct {
	rules               []string
	machines            int
	services            []time.Duration
	timely, rest        []time.Duration // from the loss until what ran in the zone runs again
	missing             time.Duration   // replica time lost from the loss on
	fetches             int             // most machines of the zone that fetch at once after its return
	startsIn5           int             // starts in the zone in the first five seconds after its return
	repeated            int             // batch tasks started more than once
	processor, heapMB   float64
	unfinished, started int
}

func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "-"
	}
	slices.Sort(times)
	return fmt.Sprintf("%.1f/%.1f (%d)", times[len(times)/2].Seconds(), times[len(times)-1].Seconds(), len(times))
}

// measureZone plays a deployment that is nearly full when it loses one of three zones for a minute.
func measureZone(machines int, seed uint64, on bool) zoneMeasure {
	const lossAt, loss, end = 100 * time.Second, 60 * time.Second, 330 * time.Second
	cores := float64(machines) / 2 * 20
	shape := Shape{Controllers: 3, Machines: machines, Scale: cores / 16, Tasks: 50, Zones: 3}
	w := New(seed, shape)
	w.deterministic = true
	w.cfg.Facts.State.RPS, w.cfg.Facts.State.WriteRPS, w.cfg.Facts.State.TxnOps = 350, 150, 32
	for _, n := range w.nodes {
		n.boot()
	}
	if on {
		w.recoverZones(nil)
	}
	var m zoneMeasure
	each := 2.0
	if machines > 1000 {
		each = 4 // fewer tasks: checking the rules costs the square of their number
	}
	replicas := measureLoad(w, cores, each, lossAt)
	lost := map[string]*simJob{}
	starts := map[string]int{}
	w.onStart = func(h *host, task *task) {
		m.started++
		if task.job.spec.Kind == wire.KindArray {
			if starts[task.id]++; starts[task.id] == 2 {
				m.repeated++
			}
		}
		if h.zone == "a" && w.now >= lossAt+loss && w.now < lossAt+loss+5*time.Second {
			m.startsIn5++
		}
		if j := lost[task.id]; j != nil {
			delete(lost, task.id)
			times := map[string]*[]time.Duration{"web": &m.services, "batch": &m.timely, "bulk": &m.rest}[j.spec.Class]
			*times = append(*times, w.now-lossAt)
		}
	}
	w.after(lossAt, func() {
		m.machines = len(w.hostsUp())
		w.running(func(h *host, task *task) {
			if h.zone == "a" {
				lost[task.id] = task.job
			}
		})
		w.darken("a", loss)
	})
	w.after(lossAt+loss, func() { w.zoneHistory.fetching = nil })
	for at := lossAt; at < end; at += time.Second {
		w.after(at, func() {
			up := 0
			w.running(func(h *host, task *task) {
				if task.job.spec.Kind == wire.KindService && (h.zone != "a" || !h.cut) {
					up++
				}
			})
			m.missing += time.Duration(replicas-up) * time.Second
		})
	}
	w.Run(end)
	m.rules = w.Rules
	for _, j := range w.users.list {
		if j.spec.Kind == wire.KindArray {
			m.unfinished += j.left()
		}
	}
	m.fetches, m.processor = w.zoneHistory.fetching["a"], w.processor.Seconds()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	m.heapMB = float64(memory.HeapAlloc) / (1 << 20)
	runtime.KeepAlive(w)
	return m
}

// measureLoad submits services for a third of the cores and then keeps batches, with an aim and
// without, coming for about half of them. It returns how many replicas there are.
func measureLoad(w *World, cores, each float64, until time.Duration) (replicas int) {
	id := 0
	enter := func(spec wire.Job, run time.Duration) {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB = fmt.Sprintf("req-%06d", id), 2, fmt.Sprintf("img-%d", id%12), 1
		id++
		w.users.enterQuietly(&simJob{spec: spec, run: run, done: make([]bool, spec.Tasks)})
	}
	for used := 0.0; used < cores/3; used += 6 * each {
		replicas += 6
		w.after(w.between(time.Second, 30*time.Second), func() {
			enter(wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 6, CPUs: each, Spread: true}, 0)
		})
	}
	const run, tasks = 40 * time.Second, 40 // jobs that fill half of the cores
	every := time.Duration(float64(run) * each * tasks / (cores / 2))
	for at := 30 * time.Second; at < until+2*time.Minute; at += every {
		w.after(at, func() {
			class := []string{"batch", "bulk"}[id%2]
			enter(wire.Job{Class: class, Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: each, EstimateS: run.Seconds()},
				w.between(run/2, run*3/2))
		})
	}
	return replicas
}

// String is the line of a measurement.
func (m zoneMeasure) String() string {
	return fmt.Sprintf("%d up; p50/max services %s timely %s rest %s; replica-s lost %.0f; fetches %d, starts in 5 s %d; repeated %d of %d; cpu %.1f s, heap %.0f MB; %d tasks left",
		m.machines, quantiles(m.services), quantiles(m.timely), quantiles(m.rest),
		m.missing.Seconds(), m.fetches, m.startsIn5, m.repeated, m.started, m.processor, m.heapMB, m.unfinished)
}
