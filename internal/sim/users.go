package sim

import (
	"fmt"
	"net/http"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// users submit jobs, poll them and cancel some.
type users struct {
	w    *World
	jobs map[string]*simJob
	list []*simJob
	stop time.Duration // no submissions after
}

// simJob is a job with what is really true of it.
type simJob struct {
	spec        wire.Job
	run         time.Duration
	done        []bool
	accepted    bool
	doneTold    bool
	askedCancel bool
	cancelTold  bool
	cancelledAt time.Duration
	begun       bool          // a task has started
	known       time.Duration // when a question about it was answered last
}

// told is what a job's user has been told for good.
type told struct{ done, cancelled bool }

func (j *simJob) told() told { return told{j.doneTold, j.cancelTold} }

func (j *simJob) left() int {
	n := 0
	for _, d := range j.done {
		if !d {
			n++
		}
	}
	return n
}

func newUsers(w *World) *users { return &users{w: w, jobs: map[string]*simJob{}} }

func (u *users) jobOf(task string) *simJob {
	id, _, _ := wire.SplitTask(task)
	return u.jobs[id]
}

// arrive keeps submitting.
func (u *users) arrive(every time.Duration) {
	if u.w.now > u.stop {
		return
	}
	u.submitNew()
	u.w.after(u.w.between(0, 2*every), func() { u.arrive(every) })
}

func (u *users) submitNew() {
	w := u.w
	j := &simJob{spec: wire.Job{
		ID: fmt.Sprintf("req-%06d", w.rng.IntN(1000)*1000+len(u.list)), Class: "batch", Team: w.cfg.Facts.Teams[w.rng.IntN(len(w.cfg.Facts.Teams))].Name,
		Kind: wire.KindArray, Priority: "standard", Tasks: 1 + w.rng.IntN(w.shape.Tasks), CPUs: float64(int(1) << w.rng.IntN(3)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", w.rng.IntN(3)), ImageGB: 1, Spot: w.chance(0.5), Spread: w.chance(0.3),
	}, run: w.between(2*time.Second, 25*time.Second)}
	if w.chance(0.3) {
		j.spec.Kind, j.spec.Class, j.spec.Priority, j.spec.CPUs = wire.KindService, "web", "prod", 1
		j.spec.Tasks = 1 + w.rng.IntN(3)
	}
	if w.shape.GPUs {
		w.needGPUs(j)
	}
	if !j.spec.Spread && w.chance(0.2) {
		j.spec.OneZone = true
	}
	if w.chance(0.1) {
		j.spec.Types = []string{"big"}
	}
	j.done = make([]bool, j.spec.Tasks)
	u.jobs[j.spec.ID] = j
	u.list = append(u.list, j)
	u.submit(j)
	if j.spec.Kind == wire.KindService || w.chance(0.25) {
		w.after(w.between(0, 50*time.Second), func() { u.cancel(j) })
	}
}

// needGPUs makes a job one that takes GPUs, where its team has any, with so many cores
// that two tasks don't always fit on a small machine; an array gets a deadline.
func (w *World) needGPUs(j *simJob) {
	j.spec.CPUs, j.spec.MemoryGB = 3.5+3*w.rng.Float64(), 27
	if team := w.team(j.spec.Team); team.GPUsMax > 0 {
		j.spec.GPUs = 1
	}
	if j.spec.Kind == wire.KindArray {
		j.spec.EstimateS = j.run.Seconds() * (0.5 + w.rng.Float64())
		due := 1.5*j.spec.EstimateS + 20
		j.spec.DeadlineS = &due
	}
}

// body spells a submission as a user does; a zero amount must not go missing.
func body(s wire.Job) []byte { return wire.Marshal(s) }

// request sends to a random node; fn gets the answer, or status 0.
func (u *users) request(r controller.UserRequest, fn func(controller.Answer)) {
	w, done := u.w, false
	finish := func(a controller.Answer) {
		if !done {
			done = true
			fn(a)
		}
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.after(5*time.Second, func() { finish(controller.Answer{}) })
	w.after(w.latency(), func() {
		if n.core == nil {
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

func (u *users) submit(j *simJob) {
	before := j.told()
	u.request(controller.UserRequest{Op: controller.UserSubmit, Body: body(j.spec)}, func(a controller.Answer) {
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			first := !j.accepted
			j.accepted = true
			j.known = u.w.now
			if first {
				u.w.checkBegins(j)
			}
			u.w.checkState(j, before, a.Body.(wire.JobState))
			if first {
				u.poll(j)
				u.w.after(u.w.between(5*time.Second, 60*time.Second), func() { u.submit(j) }) // a late repeat
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.w.broken("forgotten", "%s gets %d", j.spec.ID, a.Status)
		default:
			u.w.after(u.w.between(time.Second, 2*time.Second), func() { u.submit(j) })
		}
	})
}

func (u *users) poll(j *simJob) {
	before := j.told()
	u.request(controller.UserRequest{Op: controller.UserPoll, Job: j.spec.ID}, func(a controller.Answer) {
		switch a.Status {
		case http.StatusOK:
			j.known = u.w.now
			u.w.checkState(j, before, a.Body.(wire.JobState))
		case http.StatusNotFound:
			u.w.broken("forgotten", "%s gets 404", j.spec.ID)
		}
		u.w.checkKnown(j)
		wait := u.w.between(2*time.Second, 6*time.Second)
		if u.w.calmFrom == 0 && (j.doneTold || j.cancelTold) {
			wait *= 6
		}
		u.w.after(wait, func() { u.poll(j) })
	})
}

func (u *users) cancel(j *simJob) {
	j.askedCancel = true
	accepted, before := j.accepted, j.told()
	u.request(controller.UserRequest{Op: controller.UserAbort, Job: j.spec.ID}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			u.w.checkState(j, before, a.Body.(wire.JobState))
			return
		}
		if a.Status == http.StatusNotFound && accepted {
			u.w.broken("forgotten", "%s gets 404", j.spec.ID)
		}
		u.w.after(u.w.between(time.Second, 2*time.Second), func() { u.cancel(j) })
	})
}

// strangers ask about jobs that nobody submitted.
func (u *users) strangers() {
	id := fmt.Sprintf("req-9%08d", u.w.rng.IntN(1e8))
	u.request(controller.UserRequest{Op: controller.UserPoll, Job: id}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			u.w.broken("invented", "%s", id)
		}
	})
	u.w.after(u.w.between(3*time.Second, 9*time.Second), u.strangers)
}
