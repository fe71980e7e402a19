package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Demands: what the ready tasks of each job want, and how much they press.

// demands lists the frontiers of all jobs.
func (l *leader) demands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	l.assignGuarantees()
	for _, j := range l.order {
		if j.cancelled || j.grant != nil || !l.cells.mayStart(j) || j.state.Count(reduction.Pending) == 0 || l.blocked(j) {
			continue
		}
		verdict, frontier := reduction.Classify(j.graph, j.state)
		if verdict != reduction.Progressing || j.spec.Kind == wire.KindGang && len(j.attempts) > 0 {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank = j.terms.Rank
		for _, t := range frontier {
			if j.attempts[t] == nil && !l.c.now.Before(j.retryAt[t]) {
				d.Tasks = append(d.Tasks, t)
			}
		}
		if len(d.Tasks) == 0 {
			continue
		}
		if d.SpreadImages = l.fetchMatters(&j.spec); d.SpreadImages || d.Service {
			d.OtherClasses = l.otherClasses(d.Class)
		}
		d.WaitForBooting = d.Service && !j.begun && l.c.now.Sub(j.ready).Seconds() > l.startAim(&j.spec)
		d.WithinGuarantee, d.AgeS, d.Avoid = !j.terms.Borrowed, l.c.now.Sub(j.ready).Seconds(), j.avoid
		d.Late, d.WorkS = j.missed(l.c.cfg.Facts.Objectives, l.c.now), j.workLeft(l.c.measure)
		d.KeepOffSpot = d.Spot && j.delaysChain(l.c.chains)
		d.Begun, d.Aged = j.begun, j.waited(l.c.now) && j.origin == nil
		for _, a := range j.attempts {
			d.InZone[a.machine.zone]++
		}
		ds = append(ds, d)
	}
	return ds
}

// delaysChain reports whether a lost task of a job delays others with a deadline, or uses up
// what earlier ones have left of it.
func (j *job) delaysChain(chains *reduction.DynamicGraph) bool {
	return j.due.last != nil && (len(j.spec.Needs) > 0 || len(chains.Successors(j.id)) > 0)
}

// Waiting wins over every other order after these ages. The largest jobs must
// begin within four minutes, and smaller ones never stop coming.
const (
	beginAfter = 80 * time.Second  // nothing of the job has run
	serveAfter = 120 * time.Second // not all of it has
)

// reserveShare is the part of all machines that may be taken by what has waited.
const reserveShare = 1.0 / 8

// waited reports whether a job has waited long enough to come before every other order.
func (j *job) waited(now time.Time) bool {
	age := now.Sub(j.ready)
	return !j.begun && age > beginAfter || age > serveAfter
}

// reserve is the size of what is left of that.
func (l *leader) reserve(machines []*scheduler.Machine) float64 {
	left := 0.0
	for _, m := range machines {
		left += l.c.measure.Of(m.Cap) * reserveShare
	}
	for _, j := range l.order {
		if l.c.now.Sub(j.ready) > serveAfter && j.spec.Kind != wire.KindService {
			left -= float64(len(j.attempts)) * l.c.measure.Of(jobEach(&j.spec))
		}
	}
	return max(left, 0)
}

// missed counts the service-level objectives on finishing that a job can't meet any more. One
// that has waited out several times the last of them, or has lost work to a failure, is not
// passed over.
func (j *job) missed(objectives []config.Objective, now time.Time) int {
	n, over := 0, 0.0 // by how many times the age exceeds the last of them
	for _, o := range objectives {
		within, age, applies := j.finishObjective(o, now)
		if !applies {
			continue
		}
		if age+j.spec.EstimateS > within {
			n++
		}
		if within > 0 && (over == 0 || age/within < over) {
			over = age / within
		}
	}
	if j.disrupted || over > 4 {
		return 0
	}
	return n
}

// finishObjective returns within how many seconds an objective wants a job finished, how much of
// that has passed by now, and whether it is about the job's finishing at all.
func (j *job) finishObjective(o config.Objective, now time.Time) (within, age float64, applies bool) {
	switch {
	case o.Kind == "deadline" && j.due.last != nil && o.Class == j.due.last.Class:
		return j.due.within(o.Times), now.Sub(j.due.from).Seconds(), true
	case o.Kind == "finished" && o.Class == j.spec.Class:
		return o.WithinS, now.Sub(j.ready).Seconds(), true
	}
	return 0, 0, false
}

// workLeft estimates what is left of a job: the sizes of its tasks times seconds.
func (j *job) workLeft(m scheduler.Measure) float64 { return j.sizeLeft(m) * j.spec.EstimateS }

// sizeLeft is the size of the tasks that a job has left.
func (j *job) sizeLeft(m scheduler.Measure) float64 {
	return float64(j.tasksLeft()) * m.Of(jobEach(&j.spec))
}

// tasksLeft is how many tasks are not done.
func (j *job) tasksLeft() int { return j.spec.Tasks - j.state.Count(reduction.Completed) }
