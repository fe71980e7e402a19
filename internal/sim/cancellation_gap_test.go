package sim

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// The array of a settled run, whose tasks run for long.
const (
	array  = "req-000002"
	second = "req-000003" // an array like it, where there is one
)

// renewals notes when each node answered a report last, which may have renewed a lease.
func renewals(w *World) map[*node]time.Duration {
	last := map[*node]time.Duration{}
	w.Tamper.Output = func(n *node, o controller.Output) controller.Output {
		if a, ok := o.(controller.Answer); ok && a.Status == http.StatusOK {
			if _, ok := a.Body.(wire.ReportAnswer); ok {
				last[n] = w.now
			}
		}
		return o
	}
	return last
}

// callOffAt has a job cancelled through one node and plays until its user was told.
func callOffAt(t *testing.T, w *World, n *node, job string) {
	t.Helper()
	j := w.users.jobs[job]
	j.askedCancel = true
	before := w.told(j)
	w.users.requestOf(n, controller.UserRequest{Op: controller.UserAbort, Job: job}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			w.checkState(j, before, a.Body.(wire.JobState))
		}
	})
	for until := w.now + time.Second; !j.cancelTold; {
		if w.now >= until {
			t.Fatalf("%s is not cancelled within a second", job)
		}
		w.Run(w.now + time.Millisecond)
	}
}

// refusedLeader has the state service refuse the leader alone.
func refusedLeader(w *World) *node {
	old := w.leading()
	old.refused = true
	w.Run(w.now + 100*time.Millisecond)
	return old
}

// another is a node that does not lead.
func another(w *World, leader *node) *node { return w.nodes[(leader.i+1)%len(w.nodes)] }

// gone checks that no task of a job is on a machine.
func checkGone(t *testing.T, w *World, job string) {
	t.Helper()
	w.running(func(h *host, task *task) {
		if task.job.spec.ID == job {
			t.Errorf("%s is on %s", task.id, h.id)
		}
	})
	for _, r := range w.Rules {
		t.Error(r)
	}
}

// gapShapes are the deployments that the gap is tried on.
var gapShapes = map[string]func(w *World){
	"three controllers":                        func(*World) {},
	"five controllers":                         nil, // see gapWorld
	"cancel_s is a second longer than a lease": func(w *World) { w.cfg.Facts.Workers.CancelS = w.cfg.Facts.Workers.LeaseS + 1 },
}

func gapWorld(t *testing.T, name string, seed uint64) *World {
	t.Helper()
	shape := Small
	change := gapShapes[name]
	if change == nil {
		shape.Controllers = 5
		change = func(*World) {}
	}
	w := settledOn(t, seed, shape, change)
	w.enterLike(array, second)
	w.Run(w.now + 8*time.Second)
	w.deterministic = true
	return w
}

// enterLike submits a job like another one under a new id.
func (w *World) enterLike(job, id string) *simJob {
	spec := w.users.jobs[job].spec
	spec.ID = id
	j := &simJob{spec: spec, run: time.Hour, done: make([]bool, spec.Tasks)}
	w.users.enter(j)
	return j
}

// The state service refuses the leader alone; another controller confirms a
// cancellation; then the state service is down for all, for longer than cancel_s,
// while workers go on reporting to the old leader. It learns of the cancellation with
// the first promise, so the tasks are gone and nobody else loses a lease.
func TestGapIsBridgedByPromises(t *testing.T) {
	for name := range gapShapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := gapWorld(t, name, 21)
			last := renewals(w)
			for i := range 2 {
				old := refusedLeader(w)
				job := []string{array, second}[i]
				callOffAt(t, w, another(w, old), job)
				told := w.now
				w.store.setOutage(true)
				w.Run(told + w.leaseTime()/2)
				if last[old] <= told {
					t.Fatalf("the old leader answered no report after %v", told)
				}
				w.Run(told + w.cancelTime() + 5*time.Second)
				checkGone(t, w, job)
				if last[old] < told+w.cancelTime() {
					t.Errorf("the old leader answered nobody after %v, told at %v", last[old], told)
				}
				w.store.setOutage(false)
				old.refused = false
				w.store.notify()
				w.Run(w.now + 20*time.Second)
			}
			for _, h := range w.hosts {
				if !h.gone && h.session > 1 && h.born < time.Minute {
					t.Errorf("%s has lost its lease", h.id)
				}
			}
		})
	}
}

// The same, but the controller that confirmed the cancellation starts anew, so nobody
// alive knows of it: the leader has to stop answering in time.
func TestGapThatNobodyAliveKnowsOf(t *testing.T) {
	for name := range gapShapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := gapWorld(t, name, 22)
			last := renewals(w)
			old := refusedLeader(w)
			for _, n := range w.nodes { // nor do those know that watch
				n.refused = n != another(w, old)
			}
			callOffAt(t, w, another(w, old), array)
			told := w.now
			w.store.setOutage(true)
			for _, n := range w.nodes {
				n.refused = n == old
			}
			another(w, old).crash(30 * time.Millisecond)
			w.Run(told + w.cancelTime() - w.leaseTime() - 700*time.Millisecond)
			if last[old] <= told {
				t.Fatalf("the old leader answered no report after %v", told)
			}
			w.Run(told + w.cancelTime() + 5*time.Second)
			checkGone(t, w, array)
		})
	}
}

// The state service refuses the leader alone, and is down for all just after the
// leader's authority has run out and before anybody could claim it. All have run all the
// time, so nobody has led meanwhile, and it goes on.
func TestAuthorityIsResumed(t *testing.T) {
	resumed := func(restart bool) (bool, []string) {
		w := settledOn(t, 26, Small, func(*World) {})
		w.deterministic = true
		old := w.leading()
		old.refused = true
		until := old.core.Authority()
		w.Run(w.now + until.Sub(old.clock()) + 2*time.Millisecond)
		if old.leads() || another(w, old).leads() {
			t.Fatal("somebody leads")
		}
		w.store.setOutage(true)
		if restart {
			another(w, old).crash(10 * time.Millisecond)
		}
		w.Run(w.now + 8*time.Second)
		return old.leads(), w.Rules
	}
	if again, rules := resumed(false); !again || len(rules) > 0 {
		t.Errorf("leads again: %v, rules broken: %v", again, rules)
	}
	if again, rules := resumed(true); again || len(rules) > 0 {
		t.Errorf("with a process that has not run all the time, leads again: %v, rules broken: %v", again, rules)
	}
}

// A leader is refused alone for so long that another one is elected; the old one has not
// heard of it when the state service goes down for all. It must promise all the same, or
// every worker would lose its lease.
func TestOldLeaderPromisesToTheNewOne(t *testing.T) {
	w := settledOn(t, 25, Small, func(*World) {})
	w.deterministic = true
	old := w.leading()
	old.refused = true
	for until := w.now + 5*time.Second; w.leading() == old || !w.leading().leads(); {
		if w.now > until {
			t.Fatal("nobody has taken over")
		}
		w.Run(w.now + 10*time.Millisecond)
	}
	w.Run(w.now + 500*time.Millisecond)
	w.store.setOutage(true)
	w.Run(w.now + 2*w.leaseTime())
	w.store.setOutage(false)
	old.refused = false
	w.Run(w.now + 10*time.Second)
	checkKept(t, w)
}

// A leader that was elected just before the outage can't read what runs where. It
// renews leases all the same, and the tasks of a job that was cancelled before must
// not live on by that.
func TestLeaderWithoutRecordsStopsWhatIsCalledOff(t *testing.T) {
	w := settledOn(t, 23, Small, func(*World) {})
	w.deterministic = true
	last := renewals(w)
	old := w.leading()
	w.Tamper.State = func(call *controller.StateCall) (controller.StateReply, bool) {
		return controller.StateReply{Status: http.StatusServiceUnavailable}, call.Op == controller.OpRange && call.Key == "t/"
	}
	for _, h := range w.hosts {
		h.receivesNothing = true // stops don't reach them before the leader changes
	}
	callOffAt(t, w, another(w, old), array)
	told := w.now
	old.refused = true
	next := old
	for next == old && w.now < told+5*time.Second {
		w.Run(w.now + 10*time.Millisecond)
		if n := w.leading(); n.leads() {
			next = n
		}
	}
	if next == old {
		t.Fatal("nobody has taken over")
	}
	w.store.setOutage(true)
	for _, h := range w.hosts {
		h.receivesNothing = false
	}
	w.Run(told + w.cancelTime() + 5*time.Second)
	if last[next] < told+w.cancelTime() {
		t.Errorf("the new leader answered nobody after %v, told at %v", last[next], told)
	}
	checkGone(t, w, array)
}

// The run of a task is held on its way; its job is cancelled, and the state service
// is out, so no raised token can fence the run. It must not start when it arrives.
func TestHeldRunOfACalledOffJob(t *testing.T) {
	w := settledOn(t, 24, Small, func(*World) {})
	w.deterministic = true
	w.faults.delayedCommands, w.faults.commandDelay = 1, w.cancelTime()+4*time.Second
	for _, h := range w.hosts {
		h.noReports = true                              // no answer to a report carries the run before the direct command
		h.images[w.users.jobs[array].spec.Image] = true // what is run starts at once
	}
	j := w.enterLike(array, second)
	sent := false
	w.Tamper.Output = func(n *node, o controller.Output) controller.Output {
		if call, ok := o.(controller.WorkerCall); ok {
			for _, c := range call.Commands.Commands {
				sent = sent || c.Op == wire.OpRun && strings.HasPrefix(c.Task, second)
			}
		}
		return o
	}
	for until := w.now + 2*time.Second; !sent && w.now < until; {
		w.Run(w.now + time.Millisecond)
	}
	if !sent {
		t.Fatal("its run was not sent")
	}
	w.faults.delayedCommands = 0 // its stop is not held, and finds nothing to stop
	callOffAt(t, w, another(w, w.leading()), second)
	told := w.now
	w.store.setOutage(true)
	for _, h := range w.hosts {
		h.noReports = false
	}
	w.Run(told + w.cancelTime() + 20*time.Second)
	if j.begun {
		t.Error("it has started")
	}
	checkGone(t, w, second)
}
