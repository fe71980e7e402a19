package controller

import (
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Task slots: how many tasks a machine may have, however little they take of it. A worker lists all its tasks in every
// report, also those that have ended until it is told to forget them, and a report that exceeds the limit on bodies costs
// the machine its lease. Some slots are kept from each single job, so that it can't take all of them.

const (
	slotsPerMachine      = 600 // a task takes up to 100 characters of a report, which may have 65,536
	slotsForOtherJobs    = 100 // of each machine, kept from a single job
	crowdedEndedAttempts = 300 // ended attempts on a machine for which the token is raised at once, so that it may forget them
)

// limitSlotsOfJob limits how many slots a job takes on one machine, if it has so many tasks that it could take more.
func (l *leader) limitSlotsOfJob(d *scheduler.Demand, j *job) {
	const limit = slotsPerMachine - slotsForOtherJobs
	if j.spec.Tasks <= limit {
		return
	}
	d.MaxOnMachine, d.OnMachine = limit, map[string]int{}
	for _, a := range j.attempts {
		d.OnMachine[a.machine.id]++
	}
	for _, m := range l.machinesByName {
		if ended := m.endedAttempts.byJob[j.id]; ended > 0 {
			d.OnMachine[m.id] += ended
		}
	}
}

// endedAttempts are the attempts that a machine reports as exited and has not been told to forget.
type endedAttempts struct {
	reportedAt map[taskKey]time.Time // when a heartbeat first reported each as exited
	byJob      map[string]int        // how many they are, by job ID
}

func newEndedAttempts() endedAttempts {
	return endedAttempts{reportedAt: map[taskKey]time.Time{}, byJob: map[string]int{}}
}

func (e *endedAttempts) len() int { return len(e.reportedAt) }

// add adds an attempt unless it is known already.
func (e *endedAttempts) add(k taskKey, now time.Time) {
	if _, known := e.reportedAt[k]; known {
		return
	}
	e.reportedAt[k] = now
	e.byJob[jobOfTask(k.task)]++
}

// remove removes an attempt that the machine does not report any more.
func (e *endedAttempts) remove(k taskKey) {
	if _, known := e.reportedAt[k]; !known {
		return
	}
	delete(e.reportedAt, k)
	job := jobOfTask(k.task)
	if e.byJob[job]--; e.byJob[job] == 0 {
		delete(e.byJob, job)
	}
}

func jobOfTask(task string) string {
	job, _, _ := wire.SplitTaskID(task)
	return job
}
