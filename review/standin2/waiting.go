//go:build review

package main

import (
	"fmt"
	"time"

	"pumicefront/wire"
)

// maxWait is how long a job may wait, once all troubles are over, while a machine that fits has room and its team
// is under its limit.
const maxWait = 90 * time.Second

// missing returns the first task of a job that is on no machine and not done, -1 if there is none, and the machine
// that has room for it, nil if there is none.
func (d *deployment) missing(j *job) (task int, fit *worker) {
	workers := d.workers()
	placed, zones, used := map[int]bool{}, map[string]int{}, 0.0
	for _, w := range workers {
		w.mu.Lock()
		for _, t := range w.tasks {
			if t.State == wire.TaskExited || t.job == nil {
				continue
			}
			if t.job.spec.Team == j.spec.Team {
				used += t.job.spec.CPUs
			}
			if t.job == j {
				_, n, _ := wire.SplitTaskID(t.ID)
				placed[n] = true
				zones[w.zone]++
			}
		}
		w.mu.Unlock()
	}
	task = -1
	for n := range j.spec.Tasks {
		j.mu.Lock()
		done := j.done[n]
		j.mu.Unlock()
		if !placed[n] && !done {
			task = n
			break
		}
	}
	if task < 0 {
		return -1, nil
	}
	for _, t := range d.settings.Teams {
		if t.name == j.spec.Team && used+j.spec.CPUs > t.max {
			return task, nil
		}
	}
	for _, w := range workers {
		if w.fits(j, zones) {
			return task, w
		}
	}
	return task, nil
}

// fits reports whether a machine that is up may start one more task of a job and has room for it. zones has the
// number of the job's other tasks by zone.
func (w *worker) fits(j *job, zones map[string]int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.ended || w.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != w.zone {
		return false
	}
	allowed := len(j.spec.Types) == 0
	for _, t := range j.spec.Types {
		allowed = allowed || t == w.typ
	}
	if j.spec.Spread && zones[w.zone] >= (j.spec.Tasks+1)/2 {
		return false
	}
	if j.spec.OneZone {
		for zone, n := range zones {
			if n > 0 && zone != w.zone {
				return false
			}
		}
	}
	cores, memory := w.free()
	return allowed && cores >= j.spec.CPUs && memory >= j.spec.MemoryGB
}

// watchWaiting looks four times a second, until the given time, whether a job waits for more than maxWait without
// a break although a machine that fits has room. It asks a controller for each job that waits every five seconds.
// Time counts only once all troubles are over.
func (d *deployment) watchWaiting(until time.Time, over func() bool) (held bool) {
	since := map[*job]time.Time{}
	fits := map[*job]*worker{}
	asked := time.Now()
	for i := 0; time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		ask := time.Since(asked) > 5*time.Second
		if ask {
			asked = time.Now()
			i++
		}
		for _, j := range d.allJobs() {
			task, fit := d.missing(j)
			if fit == nil || !over() {
				if _, waited := since[j]; waited {
					d.note("check: %s doesn't wait any more, or nothing that fits has room", j.spec.ID)
				}
				delete(since, j)
				continue
			}
			if _, waits := since[j]; !waits || fits[j] != fit {
				d.note("check: %s waits, and %s in %s has room for it", wire.TaskID(j.spec.ID, task), fit.id, fit.zone)
				fits[j] = fit
			}
			if _, waits := since[j]; !waits {
				since[j] = time.Now()
			}
			if ask {
				d.poll(d.nodes[i%len(d.nodes)], j.spec.ID)
			}
			if waited := time.Since(since[j]); waited > maxWait {
				d.note("check: %s has waited for %.1f s, longer than %v, and %s in %s has room for it",
					wire.TaskID(j.spec.ID, task), waited.Seconds(), maxWait, fit.id, fit.zone)
				fmt.Printf("%s waited for more than %v while %s had room\n", wire.TaskID(j.spec.ID, task), maxWait, fit.id)
				return false
			}
		}
	}
	return true
}
