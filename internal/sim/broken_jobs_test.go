package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicefront/wire"
)

// Jobs submitted with a mistake fail on every machine until their users cancel them. The
// workers report such failures as they report those of a faulty machine. This guards
// against taking healthy machines for faulty because of such jobs: a machine on which two
// of them failed was set aside and released, and rented anew, while nothing was wrong
// with it (124 machines on a day of karoo-sms-joburg-ops with 4% of its arrays broken). With three controllers and only healthy machines, none may be released as faulty
// while broken jobs keep failing, nor after their users have cancelled them, and their
// retries must back off.
func TestBrokenJobsLeaveHealthyMachines(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			brokenJobsLeaveHealthyMachines(t, seed)
		})
	}
}

func brokenJobsLeaveHealthyMachines(t *testing.T, seed uint64) {
	w := settledOn(t, seed, Small, func(w *World) {
		for _, h := range w.hosts {
			h.faulty = false
		}
	})
	var setAside []string // machines released as faulty, as the leader's log says
	w.Log = func(format string, args ...any) {
		if len(args) == 4 && args[2] == "releasing machine" && strings.Contains(fmt.Sprint(args[3]), "why faulty") {
			setAside = append(setAside, fmt.Sprint(args[0], " ", args[3]))
		}
	}
	var starts []time.Duration // of broken jobs' tasks
	w.onStart = func(h *host, tk *task) {
		if id, _, _ := wire.SplitTask(tk.id); w.users.jobs[id] != nil && w.users.jobs[id].broken {
			starts = append(starts, w.now)
		}
	}
	submitted := w.now
	var broken []*simJob
	for i := range 3 {
		j := &simJob{spec: wire.Job{ID: fmt.Sprintf("req-00010%d", i), Class: "web", Team: "red", Kind: wire.KindArray,
			Priority: "prod", Tasks: 6, CPUs: 4, MemoryGB: 4, Image: "img-0", ImageGB: 1}, run: 20 * time.Second,
			done: make([]bool, 6), broken: true}
		w.users.jobs[j.spec.ID] = j
		w.users.list = append(w.users.list, j)
		w.users.submit(j)
		broken = append(broken, j)
	}
	w.Run(w.now + 4*time.Minute)
	// Their users cancel them at last: what they left on the machines must not count then.
	for _, j := range broken {
		w.users.cancel(j)
	}
	w.Run(w.now + time.Minute)
	if len(w.Rules) > 0 {
		t.Fatalf("rules broken: %v", w.Rules)
	}
	for _, release := range setAside {
		t.Errorf("a healthy machine released as faulty while broken jobs failed on it: %s", release)
	}
	// Once the jobs are known to be broken, each of their 18 tasks waits up to 30 s between
	// tries: in the last two minutes at most 18 * (120/30 + 1) = 90 starts. With the backoff
	// of other jobs, at most 16 s, there would be some 18 * 120/16 = 135 or more.
	late := 0
	for _, at := range starts {
		if at >= submitted+2*time.Minute && at < submitted+4*time.Minute {
			late++
		}
	}
	if len(starts) == 0 || late > 90 {
		t.Errorf("broken jobs started %d times, %d of them in the last two minutes, want 1 or more and at most 90 late", len(starts), late)
	}
	t.Logf("broken jobs started %d times, %d of them in the last two minutes", len(starts), late)
}
