package sim

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"pumicefront/wire"
)

// Measurement of the cost of a zone's loss and return, with and without zone recovery.

// zoneMeasurement is the result of one run in which a zone is lost and returns.
type zoneMeasurement struct {
	violations                               []string
	machinesUp                               int
	serviceOutages                           []time.Duration // by task of a service in the zone: from the loss until the task runs again
	objectiveBatchOutages, otherBatchOutages []time.Duration // the same for tasks of batches with and without an objective
	lostReplicaTime                          time.Duration   // of all service replicas, from the loss on
	maxFetching                              int             // largest number of machines of the zone that fetched an image at once after its return
	startsAfterReturn                        int             // starts in the zone within five seconds of its return
	rerunTasks                               int             // batch tasks started more than once
	cpuS, heapMB                             float64
	unfinishedTasks, startedTasks            int
}

// formatMedianAndMax sorts times and formats their median, maximum and number.
func formatMedianAndMax(times []time.Duration) string {
	if len(times) == 0 {
		return "-"
	}
	slices.Sort(times)
	return fmt.Sprintf("%.1f/%.1f (%d)", times[len(times)/2].Seconds(), times[len(times)-1].Seconds(), len(times))
}

// measureZone runs a nearly full deployment of three zones that loses one of them for a minute.
func measureZone(machines int, seed uint64, recovery bool) zoneMeasurement {
	const lossAt, loss, end = 100 * time.Second, 60 * time.Second, 330 * time.Second
	cores := float64(machines) / 2 * 20
	shape := Shape{Controllers: 3, Machines: machines, Scale: cores / 16, Tasks: 50, Zones: 3}
	w := New(seed, shape)
	w.deterministic = true
	w.cfg.Facts.State.RPS, w.cfg.Facts.State.WriteRPS, w.cfg.Facts.State.TxnOps = 350, 150, 32
	for _, n := range w.controllers {
		n.boot()
	}
	if recovery {
		w.enableZoneRecovery(nil)
	}
	var m zoneMeasurement
	coresPerTask := 2.0
	if machines > 1000 {
		coresPerTask = 4 // fewer tasks: the cost of checking the rules grows with the square of their number
	}
	replicas := submitZoneLoad(w, cores, coresPerTask, lossAt)
	lostTasks := map[string]*simJob{}
	starts := map[string]int{}
	w.onStart = func(h *host, task *task) {
		m.startedTasks++
		if task.job.spec.Kind == wire.KindArray {
			if starts[task.id]++; starts[task.id] == 2 {
				m.rerunTasks++
			}
		}
		if h.zone == "a" && w.now >= lossAt+loss && w.now < lossAt+loss+5*time.Second {
			m.startsAfterReturn++
		}
		if j := lostTasks[task.id]; j != nil {
			delete(lostTasks, task.id)
			times := map[string]*[]time.Duration{"web": &m.serviceOutages, "batch": &m.objectiveBatchOutages, "bulk": &m.otherBatchOutages}[j.spec.Class]
			*times = append(*times, w.now-lossAt)
		}
	}
	w.after(lossAt, func() {
		m.machinesUp = len(w.hostsUp())
		w.forEachRunningTask(func(h *host, task *task) {
			if h.zone == "a" {
				lostTasks[task.id] = task.job
			}
		})
		w.cutOffZone("a", loss)
	})
	w.after(lossAt+loss, func() { w.zoneHistory.maxFetching = nil })
	for at := lossAt; at < end; at += time.Second {
		w.after(at, func() {
			runningReplicas := 0
			w.forEachRunningTask(func(h *host, task *task) {
				if task.job.spec.Kind == wire.KindService && (h.zone != "a" || !h.partitioned) {
					runningReplicas++
				}
			})
			m.lostReplicaTime += time.Duration(replicas-runningReplicas) * time.Second
		})
	}
	w.Run(end)
	m.violations = w.Violations
	for _, j := range w.users.jobsBySubmission {
		if j.spec.Kind == wire.KindArray {
			m.unfinishedTasks += j.tasksLeft()
		}
	}
	m.maxFetching, m.cpuS = w.zoneHistory.maxFetching["a"], w.coreTime.Seconds()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	m.heapMB = float64(memory.HeapAlloc) / (1 << 20)
	runtime.KeepAlive(w)
	return m
}

// submitZoneLoad schedules the submission of services for a third of the cores, and then of batches with
// and without an objective, which keep about half of the cores in use until two minutes after the given
// time. It returns the number of service replicas.
func submitZoneLoad(w *World, cores, coresPerTask float64, until time.Duration) (replicas int) {
	id := 0
	submit := func(spec wire.Job, run time.Duration) {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB = fmt.Sprintf("req-%06d", id), 2, fmt.Sprintf("img-%d", id%12), 1
		id++
		w.users.submitUncancelled(&simJob{spec: spec, runTime: run, done: make([]bool, spec.Tasks)})
	}
	for used := 0.0; used < cores/3; used += 6 * coresPerTask {
		replicas += 6
		w.after(w.between(time.Second, 30*time.Second), func() {
			submit(wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 6, CPUs: coresPerTask, Spread: true}, 0)
		})
	}
	const taskRun, tasks = 40 * time.Second, 40 // arrays that keep half of the cores in use
	interval := time.Duration(float64(taskRun) * coresPerTask * tasks / (cores / 2))
	for at := 30 * time.Second; at < until+2*time.Minute; at += interval {
		w.after(at, func() {
			class := []string{"batch", "bulk"}[id%2]
			submit(wire.Job{Class: class, Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: coresPerTask, EstimateS: taskRun.Seconds()},
				w.between(taskRun/2, taskRun*3/2))
		})
	}
	return replicas
}

// String formats the result in one line.
func (m zoneMeasurement) String() string {
	return fmt.Sprintf("%d up; p50/max services %s batches with an objective %s other batches %s; replica-s lost %.0f; fetches %d, starts in 5 s %d; repeated %d of %d; cpu %.1f s, heap %.0f MB; %d tasks left",
		m.machinesUp, formatMedianAndMax(m.serviceOutages), formatMedianAndMax(m.objectiveBatchOutages), formatMedianAndMax(m.otherBatchOutages),
		m.lostReplicaTime.Seconds(), m.maxFetching, m.startsAfterReturn, m.rerunTasks, m.startedTasks, m.cpuS, m.heapMB, m.unfinishedTasks)
}
