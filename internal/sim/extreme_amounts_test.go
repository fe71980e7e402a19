package sim

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// Runs in which users also submit jobs whose amounts are valid and far from any usual ones.

// extremeResources, extremeSeconds and extremeTasks are what the amounts of an extreme job are drawn from.
var (
	extremeResources = []float64{0, 0, math.SmallestNonzeroFloat64, 0.5e-18, 1e-9, 5e-7, 1e-3, 0.5, 4, 16, 60, 9e11}
	extremeSeconds   = []float64{0, math.SmallestNonzeroFloat64, 1e-9, 1, 30, 1e6, 9.9e11}
	extremeTasks     = []int{1, 2, 13, 600, 5000, wire.MaxTasks}
)

func pick[T any](w *World, from []T) T { return from[w.rng.IntN(len(from))] }

// drawExtremeJob creates a job of any kind, team and priority with extreme amounts.
func (u *users) drawExtremeJob(number int) *simJob {
	w := u.w
	j := u.drawJob()
	spec := &j.spec
	spec.ID = fmt.Sprintf("req-7%06d", number)
	spec.Kind, spec.Priority, spec.Class = pick(w, []string{wire.KindArray, wire.KindArray, wire.KindGang, wire.KindService}), pick(w, wire.Priorities), pick(w, []string{"batch", "extreme"})
	spec.CPUs, spec.GPUs, spec.MemoryGB = pick(w, extremeResources), 0, pick(w, extremeResources)
	if w.chance(0.2) {
		spec.GPUs = pick(w, extremeResources)
	}
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		spec.CPUs = math.SmallestNonzeroFloat64
	}
	spec.EstimateS, spec.CheckpointS, spec.SaveS, spec.ImageGB = pick(w, extremeSeconds), pick(w, extremeSeconds), pick(w, extremeSeconds), pick(w, extremeSeconds)
	if due := pick(w, extremeSeconds); w.chance(0.5) {
		spec.DeadlineS = &due
	}
	spec.Tasks = pick(w, extremeTasks)
	j.done, j.runTime = make([]bool, spec.Tasks), w.between(100*time.Millisecond, 10*time.Second)
	return j
}

// submitExtremeJobs submits an extreme job every few seconds until the submissions end. Such a job may be refused because
// it can never run. One that is accepted is cancelled after a minute at the latest.
func (u *users) submitExtremeJobs(number int) {
	if u.w.now > u.submissionsEnd {
		return
	}
	j := u.drawExtremeJob(number)
	u.jobs[j.spec.ID] = j
	u.submitExtremeJob(j)
	u.w.after(u.w.between(time.Second, 6*time.Second), func() { u.submitExtremeJobs(number + 1) })
}

func (u *users) submitExtremeJob(j *simJob) {
	u.request(controller.UserRequest{Op: controller.UserSubmit, Body: encodeJob(j.spec)}, func(a controller.Answer) {
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			j.accepted = true
			u.w.coverage["accepted"]++
			u.w.after(u.w.between(10*time.Second, time.Minute), func() { u.cancel(j) })
		case http.StatusUnprocessableEntity:
			u.w.coverage["refused"]++
		case http.StatusBadRequest:
			u.w.recordViolation("forgotten", "valid submission of %s is answered with status 400", j.spec.ID)
		default:
			u.w.after(u.w.between(time.Second, 2*time.Second), func() { u.submitExtremeJob(j) })
		}
	})
}

// TestExtremeAmounts guards against jobs whose amounts end a controller, hold up a round or keep other jobs from running: the
// rules hold for all jobs, and the usual ones are served as if the others were not there. PUMICEFRONT_AMOUNT_RUNS=N sets the
// number of runs, PUMICEFRONT_AMOUNT_SEED=N replays one seed and prints its log.
func TestExtremeAmounts(t *testing.T) {
	shapeOf := func(seed uint64) Shape { return []Shape{Small, Small, GPUs}[seed%3] }
	run := func(w *World, faultTime, recovery time.Duration) {
		w.after(2*time.Second, func() { w.users.submitExtremeJobs(0) })
		runFaultPairsLongRecovery(w, faultTime, recovery)
	}
	if seedText := os.Getenv("PUMICEFRONT_AMOUNT_SEED"); seedText != "" {
		replay(t, seedText, shapeOf, run)
		return
	}
	for seed := range uint64(runCount("PUMICEFRONT_AMOUNT_RUNS", 9)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, shapeOf(seed))
			run(w, faultPhase, recoveryTime(w))
			reportViolations(t, seed, w)
			if w.coverage["accepted"] == 0 || w.coverage["refused"] == 0 {
				t.Errorf("seed %d: %d extreme jobs are accepted and %d refused", seed, w.coverage["accepted"], w.coverage["refused"])
			}
		})
	}
}
