package sim

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// users simulates the users: they submit jobs, poll them and cancel some.
type users struct {
	w                *World
	jobs             map[string]*simJob // submitted jobs by ID
	jobsBySubmission []*simJob          // the same jobs in the order of their submission
	submissionsEnd   time.Duration      // when submitRegularly stops submitting jobs
}

// simJob is a job with its actual progress on the simulated machines, and with the state that controllers have
// reported to its user.
type simJob struct {
	spec              wire.Job
	runTime           time.Duration         // how long each task runs; services run until they are stopped
	done              []bool                // the tasks that have finished, by task number
	accepted          bool                  // a controller has answered that the job is accepted
	reportedDone      bool                  // a controller has answered that the job is done
	cancelRequested   bool                  // the user has sent a cancellation
	reportedCancelled bool                  // a controller has answered that the job is cancelled
	cancelledAt       time.Duration         // when the first such answer arrived
	hasStarted        bool                  // at least one task has started
	lastTaskEnded     bool                  // its last task has ended
	firstTaskEnd      time.Duration         // when the first of its tasks ended
	lastAnswered      time.Duration         // when a query about it was last answered
	needs             []*simJob             // jobs that must be done before this one starts, see wire.Job.Needs
	saved             map[int]time.Duration // saved progress by task number; nil: its tasks can't save
	alwaysFails       bool                  // its tasks fail on every machine, as with a faulty submission
}

// tasksLeft returns how many tasks have not finished.
func (j *simJob) tasksLeft() int {
	n := 0
	for _, d := range j.done {
		if !d {
			n++
		}
	}
	return n
}

func newUsers(w *World) *users { return &users{w: w, jobs: map[string]*simJob{}} }

// jobOf returns the job of a task, which in a federation may belong to another cell.
func (u *users) jobOf(task string) *simJob {
	id, _, _ := wire.SplitTaskID(task)
	if j := u.jobs[id]; j != nil || u.w.federation == nil {
		return j
	}
	return u.w.jobInAnyCell(id)
}

// submitRegularly submits a job, and schedules the next submission until the submissions end.
func (u *users) submitRegularly(interval time.Duration) {
	if u.w.now > u.submissionsEnd {
		return
	}
	u.submitRandomJob()
	u.w.after(u.w.between(0, 2*interval), func() { u.submitRegularly(interval) })
}

func (u *users) submitRandomJob() {
	u.submitAndMaybeCancel(u.drawJob())
}

// submitSmallJob submits a job with one task, and in a quarter of the cases cancels it within 6 s, in addition to
// the cancellation that submitAndMaybeCancel may schedule.
func (u *users) submitSmallJob() {
	j := u.drawJob()
	j.spec.Tasks, j.done, j.runTime = 1, j.done[:1], u.w.between(time.Second, 4*time.Second)
	u.submitAndMaybeCancel(j)
	if u.w.chance(0.25) {
		u.w.coverage["one-task job of a burst cancelled"]++
		u.w.after(u.w.between(0, 6*time.Second), func() { u.cancel(j) })
	}
}

// drawJob creates a random job.
func (u *users) drawJob() *simJob {
	w := u.w
	j := &simJob{spec: wire.Job{
		ID: fmt.Sprintf("req-%06d", w.rng.IntN(1000)*1000+len(u.jobsBySubmission)), Class: "batch", Team: w.cfg.Facts.Teams[w.rng.IntN(len(w.cfg.Facts.Teams))].Name,
		Kind: wire.KindArray, Priority: "standard", Tasks: 1 + w.rng.IntN(w.shape.Tasks), CPUs: float64(int(1) << w.rng.IntN(3)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", w.rng.IntN(3)), ImageGB: 1, Spot: w.chance(0.5), Spread: w.chance(0.3),
	}, runTime: w.between(2*time.Second, 25*time.Second)}
	if w.chance(0.3) {
		j.spec.Kind, j.spec.Class, j.spec.Priority, j.spec.CPUs = wire.KindService, "web", "prod", 1
		j.spec.Tasks = 1 + w.rng.IntN(3)
	}
	if w.shape.GPUs {
		w.requestGPUs(j)
	}
	if w.shape.Zones > 0 && j.spec.Kind == wire.KindArray && w.chance(0.5) {
		j.spec.Class = "bulk"
	}
	if !j.spec.Spread && w.chance(0.2) {
		j.spec.OneZone = true
	}
	if w.chance(0.1) {
		j.spec.Types = []string{"big"}
	}
	if !j.spec.Spread && w.chance(0.1) {
		zones := w.shape.zones()
		j.spec.Zone = zones[w.rng.IntN(len(zones))]
	}
	j.done = make([]bool, j.spec.Tasks)
	return j
}

// submitAndMaybeCancel submits a job, and schedules the cancellation of every service and of a quarter of
// the array jobs.
func (u *users) submitAndMaybeCancel(j *simJob) {
	w := u.w
	u.assignHome(j)
	u.jobs[j.spec.ID] = j
	u.jobsBySubmission = append(u.jobsBySubmission, j)
	u.submit(j)
	if j.spec.Kind == wire.KindService || w.chance(0.25) {
		w.after(w.between(0, 50*time.Second), func() { u.cancel(j) })
	}
}

// submitUncancelled submits a job without scheduling a cancellation.
func (u *users) submitUncancelled(j *simJob) {
	u.jobs[j.spec.ID] = j
	u.jobsBySubmission = append(u.jobsBySubmission, j)
	u.submit(j)
}

// assignHome registers this cell as a job's home, the cell that it is submitted to, and makes the job's ID unique
// among the cells. It does nothing outside of a federation.
func (u *users) assignHome(j *simJob) {
	if federation := u.w.federation; federation != nil {
		j.spec.ID += fmt.Sprint(u.w.cellIndex + 1)
		federation.homeCells[j.spec.ID] = u.w
	}
}

// requestGPUs makes a job request a GPU per task if its team may use any, and so many cores
// that two tasks don't always fit on a small machine. An array job gets a deadline.
func (w *World) requestGPUs(j *simJob) {
	j.spec.CPUs, j.spec.MemoryGB = 3.5+3*w.rng.Float64(), 27
	if team := w.team(j.spec.Team); team.GPUsMax > 0 {
		j.spec.GPUs = 1
	}
	if j.spec.Kind == wire.KindArray {
		j.spec.EstimateS = j.runTime.Seconds() * (0.5 + w.rng.Float64())
		due := 1.5*j.spec.EstimateS + 20
		j.spec.DeadlineS = &due
	}
}

// encodeJob encodes a submission. Amounts of zero are encoded too, because controllers reject a submission without
// them.
func encodeJob(s wire.Job) []byte { return wire.Marshal(s) }

// request sends a request to a random controller. fn gets the answer, with status 0 if
// there is none.
func (u *users) request(r controller.UserRequest, fn func(controller.Answer)) {
	u.requestFrom(u.w.controllers[u.w.rng.IntN(len(u.w.controllers))], r, fn)
}

// requestFrom sends a request to the given controller, with a time-out of 5 s.
func (u *users) requestFrom(n *member, r controller.UserRequest, fn func(controller.Answer)) {
	w, finish := u.w, once(fn)
	w.after(5*time.Second, func() { finish(controller.Answer{}) })
	w.after(w.latency(), func() {
		if n.down() {
			finish(controller.Answer{})
			return
		}
		n.ask(func(req uint64) controller.Input { r.Req = req; return r }, func(a controller.Answer) {
			if w.Tamper.User != nil {
				w.Tamper.User(&r, &a)
			}
			w.after(w.latency(), func() { finish(a) })
		})
	})
}

// submit submits a job, with retries until it is accepted, and then polls it. It submits an
// accepted job again later, which must have no effect.
func (u *users) submit(j *simJob) {
	known := u.w.knownState(j)
	u.request(controller.UserRequest{Op: controller.UserSubmit, Body: encodeJob(j.spec)}, func(a controller.Answer) {
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			newlyAccepted := !j.accepted
			j.accepted = true
			j.lastAnswered = u.w.now
			if newlyAccepted {
				u.w.checkStartsInTime(j)
			}
			u.w.checkState(j, known, a.Body.(wire.JobState))
			if newlyAccepted {
				if len(j.needs) >= wideStage {
					u.w.coverage["a job accepted with a long list of needed jobs"]++
				}
				for _, needed := range j.needs {
					if needed.reportedCancelled {
						u.w.coverage["a job accepted that needs a cancelled one"]++
					} else if needed.reportedDone {
						u.w.coverage["a job accepted that needs a finished one"]++
					}
				}
				u.askAllControllers(j)
				u.poll(j)
				u.w.after(u.w.between(5*time.Second, 60*time.Second), func() { u.submit(j) }) // late duplicate
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.w.recordViolation("forgotten", "valid submission of %s is answered with status %d", j.spec.ID, a.Status)
		default:
			u.w.after(u.w.between(time.Second, 2*time.Second), func() { u.submit(j) })
		}
	})
}

// poll queries a job's state at intervals. While faults are still injected, a job that was reported done or
// cancelled is queried at six times the interval.
func (u *users) poll(j *simJob) {
	known := u.w.knownState(j)
	u.request(controller.UserRequest{Op: controller.UserPoll, Job: j.spec.ID}, func(a controller.Answer) {
		switch a.Status {
		case http.StatusOK:
			j.lastAnswered = u.w.now
			u.w.checkState(j, known, a.Body.(wire.JobState))
		case http.StatusNotFound:
			u.w.recordViolation("forgotten", "poll of accepted job %s is answered with status 404", j.spec.ID)
		}
		u.w.checkKnown(j)
		wait := u.w.between(2*time.Second, 6*time.Second)
		if u.w.faultsEnd == 0 && (j.reportedDone || j.reportedCancelled) {
			wait *= 6
		}
		u.w.after(wait, func() { u.poll(j) })
	})
}

// cancel cancels a job, with retries until the request succeeds.
func (u *users) cancel(j *simJob) {
	j.cancelRequested = true
	accepted, known := j.accepted, u.w.knownState(j)
	u.request(controller.UserRequest{Op: controller.UserCancel, Job: j.spec.ID}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			u.w.checkState(j, known, a.Body.(wire.JobState))
			if j.reportedDone && slices.ContainsFunc(u.jobsBySubmission, func(later *simJob) bool { return slices.Contains(later.needs, j) }) {
				u.w.coverage["a cancellation answered with done, and jobs that need the job go on"]++
			}
			u.askAllControllers(j)
			return
		}
		if a.Status == http.StatusNotFound && accepted {
			u.w.recordViolation("forgotten", "cancellation of accepted job %s is answered with status 404", j.spec.ID)
		}
		u.w.after(u.w.between(time.Second, 2*time.Second), func() { u.cancel(j) })
	})
}

// askUnknownJobs polls jobs that were never submitted, at intervals.
func (u *users) askUnknownJobs() {
	id := fmt.Sprintf("req-9%08d", u.w.rng.IntN(1e8))
	u.request(controller.UserRequest{Op: controller.UserPoll, Job: id}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			u.w.recordViolation("invented", "poll of %s, which was never submitted, is answered with a state", id)
		}
	})
	u.w.after(u.w.between(3*time.Second, 9*time.Second), u.askUnknownJobs)
}

// jobEnded is called as the last task of a job ends. Depending on the active faults, the user cancels the job at
// that moment, and queries it at all controllers.
func (u *users) jobEnded(j *simJob) {
	if u.w.chance(u.w.faults.cancelAtEnd) {
		u.w.coverage["cancelled at the end of its last task"]++
		u.cancel(j)
	}
	u.askAllControllers(j)
}

// askAllControllers polls a job and submits it again at every controller within 20 ms, three
// times each, if the fault of the same name is active: no answer may be older than one already given by any controller.
func (u *users) askAllControllers(j *simJob) {
	if !u.w.faults.askAllControllers {
		return
	}
	for range 3 {
		for _, n := range u.w.controllers {
			for _, r := range []controller.UserRequest{
				{Op: controller.UserPoll, Job: j.spec.ID},
				{Op: controller.UserSubmit, Job: j.spec.ID, Body: encodeJob(j.spec)},
			} {
				u.w.after(u.w.between(0, 20*time.Millisecond), func() { u.askController(n, j, r) })
			}
		}
	}
}

// askController sends a request about a job to one controller, and checks the answer against what the user knew
// when the request was sent.
func (u *users) askController(n *member, j *simJob, r controller.UserRequest) {
	known, accepted := u.w.knownState(j), j.accepted
	if known.done || known.cancelled {
		u.w.coverage["asked at all controllers after a final answer"]++
	}
	u.requestFrom(n, r, func(a controller.Answer) {
		switch {
		case a.Status == http.StatusOK:
			u.w.checkState(j, known, a.Body.(wire.JobState))
		case a.Status == http.StatusCreated && accepted:
			u.w.recordViolation("went_back", "%s is accepted a second time", j.spec.ID)
		case accepted && (a.Status == http.StatusNotFound || a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity):
			u.w.recordViolation("forgotten", "request about accepted job %s is answered with status %d", j.spec.ID, a.Status)
		}
	})
}

// cancelRunning cancels up to count jobs that run, within a fifth of a second, and returns
// them. If hang is positive, up to eight of their machines hang for that time.
func (u *users) cancelRunning(count int, hang time.Duration) []*simJob {
	var jobs []*simJob
	hung := map[*host]bool{}
	u.w.forEachRunningTask(func(h *host, t *task) {
		j := t.job
		if !j.accepted || j.cancelRequested || len(jobs) >= count && !slices.Contains(jobs, j) {
			return
		}
		if !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
		if hang > 0 && len(hung) < 8 {
			hung[h] = true
		}
	})
	for _, j := range jobs {
		u.w.after(u.w.between(0, 200*time.Millisecond), func() {
			if !j.cancelRequested {
				u.cancel(j)
			}
		})
	}
	for _, h := range u.w.hosts { // in the order of the list: iterating over the map would make runs of a seed differ
		if hung[h] {
			h.setHung(true)
			u.w.after(hang, func() { h.setHung(false) })
		}
	}
	return jobs
}
