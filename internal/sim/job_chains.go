package sim

import (
	"slices"
	"time"

	"pumicefront/wire"
)

// submitChain submits a chain of two to four stages of jobs. The jobs of a stage need those
// of the previous one and are submitted as soon as these are accepted; in some chains, the
// last stage is submitted only when the stage before it has ended. The first stage may need
// a job that was submitted before. Jobs of any stage may be cancelled, at any time.
func (u *users) submitChain() {
	w := u.w
	var needed []*simJob
	if len(u.jobsBySubmission) > 0 && w.chance(0.4) {
		if j := u.jobsBySubmission[w.rng.IntN(len(u.jobsBySubmission))]; j.accepted && j.spec.Kind == wire.KindArray {
			needed = append(needed, j)
		}
	}
	u.submitStage(needed, 0, 2+w.rng.IntN(3), w.chance(0.2))
}

// wideStage is the number of jobs of a wide stage: with it, a job of the next stage needs
// more jobs than a transaction may have conditions.
const wideStage = 25

// submitStage submits stage n, which consists of one, two or wideStage jobs that all need the
// jobs in needed, and then the later stages. delayLast delays the last stage until the jobs
// of the stage before it have ended.
func (u *users) submitStage(needed []*simJob, n, stages int, delayLast bool) {
	w := u.w
	if n == stages {
		return
	}
	width := 1
	switch {
	case n > 0 && w.chance(0.3):
		width = 2
	case n == 0 && w.chance(0.15):
		width = wideStage
	}
	var jobs []*simJob
	for range width {
		j := u.drawJob()
		j.spec.Kind, j.spec.Class, j.spec.Priority = wire.KindArray, "stage", "best_effort"
		j.spec.Tasks, j.runTime = 1+w.rng.IntN(4), w.between(time.Second, 8*time.Second)
		if width == wideStage {
			j.spec.Tasks, j.spec.CPUs, j.spec.Spread = 1, 1, false
		}
		j.done, j.needs = make([]bool, j.spec.Tasks), needed
		j.spec.EstimateS = j.runTime.Seconds()
		if n == stages-1 {
			due := 60.0
			j.spec.Class, j.spec.Priority, j.spec.DeadlineS = "last", "high", &due
		}
		for _, p := range needed {
			j.spec.Needs = append(j.spec.Needs, p.spec.ID)
		}
		u.jobs[j.spec.ID] = j
		u.jobsBySubmission = append(u.jobsBySubmission, j)
		jobs = append(jobs, j)
		u.submit(j)
		if w.chance(0.12) {
			w.after(w.between(0, 30*time.Second), func() { u.cancel(j) })
		}
	}
	all := func(holds func(*simJob) bool) bool {
		return !slices.ContainsFunc(jobs, func(j *simJob) bool { return !holds(j) })
	}
	var next func()
	next = func() {
		switch {
		case w.now > u.submissionsEnd+30*time.Second:
		case !all(func(j *simJob) bool { return j.accepted }),
			delayLast && n == stages-2 && !all(func(j *simJob) bool { return j.reportedDone || j.reportedCancelled }):
			w.after(200*time.Millisecond, next)
		default:
			u.submitStage(jobs, n+1, stages, delayLast)
		}
	}
	next()
}
