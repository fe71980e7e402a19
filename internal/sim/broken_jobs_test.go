package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicefront/wire"
)

// TestBrokenJobsKeepHealthyMachinesInService guards against releasing healthy machines as faulty because of
// broken jobs. A job submitted with a mistake fails on every machine until its user cancels it, and workers
// report such failures like those of a faulty machine. A machine on which two such tasks failed was
// quarantined, released and replaced by a newly rented one although it was healthy: 124 machines on a day of
// karoo-sms-joburg-ops with 4% of its arrays broken. With three controllers and only healthy machines, none
// may be released as faulty while broken jobs keep failing, nor after their users have cancelled them, and
// the retries must back off.
func TestBrokenJobsKeepHealthyMachinesInService(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			checkBrokenJobsKeepHealthyMachines(t, seed)
		})
	}
}

func checkBrokenJobsKeepHealthyMachines(t *testing.T, seed uint64) {
	w := settledWorldWith(t, seed, Small, func(w *World) {
		for _, h := range w.hosts {
			h.faulty = false
		}
	})
	var releasedAsFaulty []string // releases as faulty, from the leader's log
	w.Log = func(format string, args ...any) {
		if len(args) == 4 && args[2] == "releasing machine" && strings.Contains(fmt.Sprint(args[3]), "why faulty") {
			releasedAsFaulty = append(releasedAsFaulty, fmt.Sprint(args[0], " ", args[3]))
		}
	}
	var startTimes []time.Duration // of tasks of broken jobs
	w.onStart = func(h *host, tk *task) {
		if id, _, _ := wire.SplitTaskID(tk.id); w.users.jobs[id] != nil && w.users.jobs[id].alwaysFails {
			startTimes = append(startTimes, w.now)
		}
	}
	submitted := w.now
	var brokenJobs []*simJob
	for i := range 3 {
		j := &simJob{spec: wire.Job{ID: fmt.Sprintf("req-00010%d", i), Class: "web", Team: "red", Kind: wire.KindArray,
			Priority: "prod", Tasks: 6, CPUs: 4, MemoryGB: 4, Image: "img-0", ImageGB: 1}, runTime: 20 * time.Second,
			done: make([]bool, 6), alwaysFails: true}
		w.users.jobs[j.spec.ID] = j
		w.users.jobsBySubmission = append(w.users.jobsBySubmission, j)
		w.users.submit(j)
		brokenJobs = append(brokenJobs, j)
	}
	w.Run(w.now + 4*time.Minute)
	// After the cancellation, the failures that these jobs left on the machines must not count.
	for _, j := range brokenJobs {
		w.users.cancel(j)
	}
	w.Run(w.now + time.Minute)
	if len(w.Violations) > 0 {
		t.Fatalf("violations: %v", w.Violations)
	}
	for _, release := range releasedAsFaulty {
		t.Errorf("healthy machine released as faulty after failures of broken jobs: %s", release)
	}
	// Once the jobs are known to be broken, each of their 18 tasks waits up to 30 s between
	// attempts: in the last two minutes at most 18 * (120/30 + 1) = 90 starts. With the backoff
	// of other jobs, at most 16 s, there would be some 18 * 120/16 = 135 or more.
	lateStarts := 0
	for _, at := range startTimes {
		if at >= submitted+2*time.Minute && at < submitted+4*time.Minute {
			lateStarts++
		}
	}
	if len(startTimes) == 0 || lateStarts > 90 {
		t.Errorf("tasks of broken jobs started %d times, want at least 1; %d times in the last two minutes, want at most 90", len(startTimes), lateStarts)
	}
	t.Logf("tasks of broken jobs started %d times, %d of them in the last two minutes", len(startTimes), lateStarts)
}
