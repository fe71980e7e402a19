package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Demands: what the ready tasks of each job need, and how urgent they are.

// demands lists the ready tasks of all jobs, one demand for each job.
func (l *leader) demands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	var used map[string]scheduler.Resources
	l.assignGuarantees()
	for _, j := range l.jobsByAcceptance {
		if j.cancelled || j.grant != nil || !l.spillover.mayStart(j) || j.state.Count(reduction.Pending) == 0 || l.blocked(j) {
			continue
		}
		if j.spec.Kind == wire.KindGang && len(j.attempts) > 0 {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank = j.terms.Rank
		if used == nil && !listsAllTasks(&j.spec) {
			used = l.teamUse()
		}
		if l.listReadyTasks(d, j, used); len(d.Tasks) == 0 {
			continue
		}
		if d.SpreadImages = l.fetchMissesStartObjective(&j.spec); d.SpreadImages || d.Service {
			d.OtherClasses = l.otherClasses(d.Class)
		}
		d.WaitForBooting = d.Service && !j.hasStarted && l.c.now.Sub(j.ready).Seconds() > l.startObjectiveS(&j.spec)
		d.WithinGuarantee, d.AgeS, d.Avoid = !j.terms.Borrowed, l.c.now.Sub(j.ready).Seconds(), j.avoidedMachines
		d.MissedObjectives, d.WorkS = j.missedObjectives(l.c.cfg.Facts.Objectives, l.c.now), j.workLeft(l.c.measure)
		d.PreferNonSpot = d.Spot && j.delaysChain(l.c.dependencies)
		d.Started, d.Aged = j.hasStarted, j.hasAged(l.c.now) && j.origin == nil
		for _, a := range j.attempts {
			d.InZone[a.machine.zone]++
		}
		l.limitSlotsOfJob(d, j)
		ds = append(ds, d)
	}
	return ds
}

// Bounds on the number of tasks that the demand of a large job lists. Its other tasks wait in any case.
const (
	minListedTasks = 1000    // listed of a job that has as many, whatever its team's limit allows
	maxListedTasks = 1 << 15 // listed where the team's limit allows more
)

// listsAllTasks reports whether the demand of a job lists all its ready tasks. A gang is placed with all its tasks or not
// at all.
func listsAllTasks(spec *wire.Job) bool {
	return spec.Tasks <= minListedTasks || spec.Kind == wire.KindGang
}

// listReadyTasks lists the ready tasks of a job in its demand, given the use of all teams. Of a large job it lists no more
// than its team's limit allows to start now: listing all tasks of large jobs would take most of a round.
func (l *leader) listReadyTasks(d *scheduler.Demand, j *job, used map[string]scheduler.Resources) {
	reduction.Close(j.graph, j.state)
	limit := j.spec.Tasks
	if !listsAllTasks(&j.spec) {
		limit = max(minListedTasks, min(l.roomInTeam(d, used), maxListedTasks))
	}
	d.Tasks = make([]int, 0, min(limit, j.state.Count(reduction.Pending)))
	for t := range reduction.Frontier(j.graph, j.state) {
		if j.attempts[t] != nil || l.c.now.Before(j.retryAt[t]) {
			continue
		}
		d.Tasks = append(d.Tasks, t)
		if len(d.Tasks) == limit {
			d.Unlisted = j.state.Count(reduction.Pending) - limit
			return
		}
	}
}

// placeholderTasks returns indexes for the tasks of a demand whose job has none yet, at most maxListedTasks.
func placeholderTasks(d *scheduler.Demand) []int { return make([]int, min(d.Total, maxListedTasks)) }

// delaysChain reports whether a job belongs to a chain of dependent jobs with a deadline. The loss of one of its tasks then
// delays the later jobs of the chain, or wastes the time that the earlier jobs left before the deadline.
func (j *job) delaysChain(dependencies *reduction.DynamicGraph) bool {
	return j.deadline.fromJob != nil && (len(j.spec.Needs) > 0 || len(dependencies.Successors(j.id)) > 0)
}

// Ages beyond which a waiting job is placed before all others. Even the largest jobs must start within four minutes,
// although smaller ones never stop arriving.
const (
	unstartedAgingAfter  = 80 * time.Second  // no task of the job has run
	unfinishedAgingAfter = 120 * time.Second // not all of its tasks have run
)

// agingReserveShare is the share of all machines that aged jobs may take.
const agingReserveShare = 1.0 / 8

// hasAged reports whether a job has waited long enough to be placed before all others.
func (j *job) hasAged(now time.Time) bool {
	age := now.Sub(j.ready)
	return !j.hasStarted && age > unstartedAgingAfter || age > unfinishedAgingAfter
}

// agingReserve returns the size of the agingReserveShare that the attempts of batch jobs older than unfinishedAgingAfter do
// not use yet.
func (l *leader) agingReserve(machines []*scheduler.Machine) float64 {
	left := 0.0
	for _, m := range machines {
		left += l.c.measure.Of(m.Cap) * agingReserveShare
	}
	for _, j := range l.jobsByAcceptance {
		if l.c.now.Sub(j.ready) > unfinishedAgingAfter && j.spec.Kind != wire.KindService {
			left -= float64(len(j.attempts)) * l.c.measure.OfTask(taskResources(&j.spec))
		}
	}
	return max(left, 0)
}

// missedObjectives counts the objectives on finishing that a job can't meet any more. It is 0 for a job that has lost
// work to a failure, or whose age exceeds each of these objectives more than fourfold, so that other jobs are not placed
// ahead of it forever.
func (j *job) missedObjectives(objectives []config.Objective, now time.Time) int {
	n, overrun := 0, 0.0 // smallest ratio of the age to an objective
	for _, o := range objectives {
		within, age, applies := j.finishObjective(o, now)
		if !applies {
			continue
		}
		if age+j.spec.EstimateS > within {
			n++
		}
		if within > 0 && (overrun == 0 || age/within < overrun) {
			overrun = age / within
		}
	}
	if j.disrupted || overrun > 4 {
		return 0
	}
	return n
}

// finishObjective returns within how many seconds a job should finish according to an objective, how many of these have
// passed by now, and whether the objective applies to the end of the job at all.
func (j *job) finishObjective(o config.Objective, now time.Time) (within, age float64, applies bool) {
	switch {
	case o.Kind == "deadline" && j.deadline.fromJob != nil && o.Class == j.deadline.fromJob.Class:
		return j.deadline.within(o.Times), now.Sub(j.deadline.acceptedAt).Seconds(), true
	case o.Kind == "finished" && o.Class == j.spec.Class:
		return o.WithinS, now.Sub(j.ready).Seconds(), true
	}
	return 0, 0, false
}

// workLeft estimates the work left of a job: the size of its unfinished tasks times the estimated seconds.
func (j *job) workLeft(m scheduler.Measure) float64 { return j.sizeLeft(m) * j.spec.EstimateS }

// sizeLeft is the total size of a job's unfinished tasks.
func (j *job) sizeLeft(m scheduler.Measure) float64 {
	return float64(j.tasksLeft()) * m.OfTask(taskResources(&j.spec))
}

// tasksLeft is the number of a job's unfinished tasks.
func (j *job) tasksLeft() int { return j.spec.Tasks - j.state.Count(reduction.Completed) }
