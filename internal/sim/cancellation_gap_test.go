package sim

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// Jobs of the tests of the cancellation gap: the time in which a leader that is refused by the state
// service goes on renewing leases without knowing of a cancellation that another controller confirmed.
const (
	arrayJobID       = "req-000002" // the array of settledWorld; its tasks run for an hour
	secondArrayJobID = "req-000003" // a copy of that array, in tests that submit one
)

// recordLastRenewals records when each controller last answered a report with success, which may have renewed
// a worker's lease.
func recordLastRenewals(w *World) map[*member]time.Duration {
	lastRenewal := map[*member]time.Duration{}
	w.Tamper.Output = func(n *member, o controller.Output) controller.Output {
		if a, ok := o.(controller.Answer); ok && a.Status == http.StatusOK {
			if _, ok := a.Body.(wire.ReportAnswer); ok {
				lastRenewal[n] = w.now
			}
		}
		return o
	}
	return lastRenewal
}

// cancelThrough cancels a job through one controller and runs the world until the cancellation is
// reported to its user.
func cancelThrough(t *testing.T, w *World, n *member, job string) {
	t.Helper()
	j := w.users.jobs[job]
	j.cancelRequested = true
	before := w.knownState(j)
	w.users.requestFrom(n, controller.UserRequest{Op: controller.UserCancel, Job: job}, func(a controller.Answer) {
		if a.Status == http.StatusOK {
			w.checkState(j, before, a.Body.(wire.JobState))
		}
	})
	for until := w.now + time.Second; !j.reportedCancelled; {
		if w.now >= until {
			t.Fatalf("%s not reported as cancelled within a second", job)
		}
		w.Run(w.now + time.Millisecond)
	}
}

// refuseLeader makes the state service refuse calls of the leader, and of no other controller, and
// returns the leader.
func refuseLeader(w *World) *member {
	leader := w.leaderOrFirst()
	leader.stateRefused = true
	w.Run(w.now + 100*time.Millisecond)
	return leader
}

// otherMember returns a controller that is not the given one.
func otherMember(w *World, n *member) *member { return w.controllers[(n.index+1)%len(w.controllers)] }

// checkNoTaskRuns checks that no task of a job runs on any machine, and that no rule is broken.
func checkNoTaskRuns(t *testing.T, w *World, job string) {
	t.Helper()
	w.forEachRunningTask(func(h *host, task *task) {
		if task.job.spec.ID == job {
			t.Errorf("%s still runs on %s", task.id, h.id)
		}
	})
	for _, r := range w.Violations {
		t.Error(r)
	}
}

// gapDeployments are the deployments on which the cancellation gap is tested.
var gapDeployments = map[string]func(w *World){
	"three controllers":                        func(*World) {},
	"five controllers":                         nil, // newGapWorld sets the number of controllers
	"cancel_s is a second longer than a lease": func(w *World) { w.cfg.Facts.Workers.CancelS = w.cfg.Facts.Workers.LeaseS + 1 },
}

// newGapWorld returns a settled world of one of gapDeployments in which both arrays have been submitted and,
// apart from calls to the cloud, no message is lost or delayed by chance any more.
func newGapWorld(t *testing.T, name string, seed uint64) *World {
	t.Helper()
	shape := Small
	configure := gapDeployments[name]
	if configure == nil {
		shape.Controllers = 5
		configure = func(*World) {}
	}
	w := settledWorldWith(t, seed, shape, configure)
	w.submitCopy(arrayJobID, secondArrayJobID)
	w.Run(w.now + 8*time.Second)
	w.deterministic = true
	return w
}

// submitCopy submits a copy of a job under another id.
func (w *World) submitCopy(job, id string) *simJob {
	spec := w.users.jobs[job].spec
	spec.ID = id
	j := &simJob{spec: spec, runTime: time.Hour, done: make([]bool, spec.Tasks)}
	w.users.submitAndMaybeCancel(j)
	return j
}

// TestOldLeaderLearnsOfCancellationFromPeerLeases: the state service refuses the leader and no other
// controller; another one confirms a cancellation; then the state service is down for all, for longer than
// cancel_s, while workers still report to the old leader. It learns of the cancellation with the first peer
// lease, so the job's tasks are stopped in time and no worker loses its lease.
func TestOldLeaderLearnsOfCancellationFromPeerLeases(t *testing.T) {
	for name := range gapDeployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newGapWorld(t, name, 21)
			lastRenewal := recordLastRenewals(w)
			for i := range 2 {
				oldLeader := refuseLeader(w)
				job := []string{arrayJobID, secondArrayJobID}[i]
				cancelThrough(t, w, otherMember(w, oldLeader), job)
				cancelledAt := w.now
				w.store.setOutage(true)
				w.Run(cancelledAt + w.leaseTime()/2)
				if lastRenewal[oldLeader] <= cancelledAt {
					t.Fatalf("the old leader answered no report after %v", cancelledAt)
				}
				w.Run(cancelledAt + w.cancelTime() + 5*time.Second)
				checkNoTaskRuns(t, w, job)
				if lastRenewal[oldLeader] < cancelledAt+w.cancelTime() {
					t.Errorf("last report answered by the old leader at %v, want cancel_s or more after the cancellation at %v", lastRenewal[oldLeader], cancelledAt)
				}
				w.store.setOutage(false)
				oldLeader.stateRefused = false
				w.store.notify()
				w.Run(w.now + 20*time.Second)
			}
			for _, h := range w.hosts {
				if !h.hasEnded && h.session > 1 && h.rentedAt < time.Minute {
					t.Errorf("%s lost its lease", h.id)
				}
			}
		})
	}
}

// TestCancellationThatNoRunningControllerKnows: the state service refuses the leader; another controller
// confirms a cancellation and restarts, and the state service goes down for all, so no running process knows
// of the cancellation. The old leader must stop renewing leases early enough for the tasks to end within
// cancel_s.
func TestCancellationThatNoRunningControllerKnows(t *testing.T) {
	for name := range gapDeployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newGapWorld(t, name, 22)
			lastRenewal := recordLastRenewals(w)
			oldLeader := refuseLeader(w)
			for _, n := range w.controllers { // the others must not learn of the cancellation from the state service either
				n.stateRefused = n != otherMember(w, oldLeader)
			}
			cancelThrough(t, w, otherMember(w, oldLeader), arrayJobID)
			cancelledAt := w.now
			w.store.setOutage(true)
			for _, n := range w.controllers {
				n.stateRefused = n == oldLeader
			}
			otherMember(w, oldLeader).crash(30 * time.Millisecond)
			w.Run(cancelledAt + w.cancelTime() - w.leaseTime() - 700*time.Millisecond)
			if lastRenewal[oldLeader] <= cancelledAt {
				t.Fatalf("the old leader answered no report after %v", cancelledAt)
			}
			w.Run(cancelledAt + w.cancelTime() + 5*time.Second)
			checkNoTaskRuns(t, w, arrayJobID)
		})
	}
}

// TestExpiredAuthorityIsResumed: the state service refuses the leader and no other controller, and goes down
// for all just after the leader's authority has expired and before any other controller could claim the
// leadership. If all processes have run throughout, none can have led meanwhile, and the leader resumes its
// authority. If one of them has restarted, the leader must not.
func TestExpiredAuthorityIsResumed(t *testing.T) {
	resumesAuthority := func(restart bool) (bool, []string) {
		w := settledWorldWith(t, 26, Small, func(*World) {})
		w.deterministic = true
		oldLeader := w.leaderOrFirst()
		oldLeader.stateRefused = true
		authorityEnd := oldLeader.core.Authority()
		w.Run(w.now + authorityEnd.Sub(oldLeader.clock()) + 2*time.Millisecond)
		if oldLeader.isLeader() || otherMember(w, oldLeader).isLeader() {
			t.Fatal("a controller leads right after the authority has expired")
		}
		w.store.setOutage(true)
		if restart {
			otherMember(w, oldLeader).crash(10 * time.Millisecond)
		}
		w.Run(w.now + 8*time.Second)
		return oldLeader.isLeader(), w.Violations
	}
	if leadsAgain, violations := resumesAuthority(false); !leadsAgain || len(violations) > 0 {
		t.Errorf("all processes ran throughout: leads again %v, want true; violations: %v", leadsAgain, violations)
	}
	if leadsAgain, violations := resumesAuthority(true); leadsAgain || len(violations) > 0 {
		t.Errorf("one process restarted: leads again %v, want false; violations: %v", leadsAgain, violations)
	}
}

// TestOldLeaderGrantsPeerLeaseToNewLeader: the state service refuses a leader, and no other controller, for
// so long that another one is elected. The old leader has not learned of the election when the state service
// goes down for all. It must grant the new leader a peer lease all the same, or every worker would lose its
// lease.
func TestOldLeaderGrantsPeerLeaseToNewLeader(t *testing.T) {
	w := settledWorldWith(t, 25, Small, func(*World) {})
	w.deterministic = true
	oldLeader := w.leaderOrFirst()
	oldLeader.stateRefused = true
	for until := w.now + 5*time.Second; w.leaderOrFirst() == oldLeader || !w.leaderOrFirst().isLeader(); {
		if w.now > until {
			t.Fatal("no other leader elected within 5 s")
		}
		w.Run(w.now + 10*time.Millisecond)
	}
	w.Run(w.now + 500*time.Millisecond)
	w.store.setOutage(true)
	w.Run(w.now + 2*w.leaseTime())
	w.store.setOutage(false)
	oldLeader.stateRefused = false
	w.Run(w.now + 10*time.Second)
	checkLeasesAndTasksKept(t, w)
}

// TestLeaderWithoutRecordsStopsCancelledTasks: a leader elected just before an outage can't read the records
// of placed tasks. It renews leases all the same; the tasks of a job that was cancelled before must not
// outlive cancel_s because of that.
func TestLeaderWithoutRecordsStopsCancelledTasks(t *testing.T) {
	w := settledWorldWith(t, 23, Small, func(*World) {})
	w.deterministic = true
	lastRenewal := recordLastRenewals(w)
	oldLeader := w.leaderOrFirst()
	w.Tamper.State = func(call *controller.StateCall) (controller.StateReply, bool) {
		return controller.StateReply{Status: http.StatusServiceUnavailable}, call.Op == controller.OpRange && call.Key == "t/"
	}
	for _, h := range w.hosts {
		h.receivesNothing = true // stop commands don't reach the machines before the leader changes
	}
	cancelThrough(t, w, otherMember(w, oldLeader), arrayJobID)
	cancelledAt := w.now
	oldLeader.stateRefused = true
	newLeader := oldLeader
	for newLeader == oldLeader && w.now < cancelledAt+5*time.Second {
		w.Run(w.now + 10*time.Millisecond)
		if n := w.leaderOrFirst(); n.isLeader() {
			newLeader = n
		}
	}
	if newLeader == oldLeader {
		t.Fatal("no other leader elected within 5 s")
	}
	w.store.setOutage(true)
	for _, h := range w.hosts {
		h.receivesNothing = false
	}
	w.Run(cancelledAt + w.cancelTime() + 5*time.Second)
	if lastRenewal[newLeader] < cancelledAt+w.cancelTime() {
		t.Errorf("last report answered by the new leader at %v, want cancel_s or more after the cancellation at %v", lastRenewal[newLeader], cancelledAt)
	}
	checkNoTaskRuns(t, w, arrayJobID)
}

// TestDelayedRunOfCancelledJob: the command to run a task is delayed on its way. Its job is cancelled
// meanwhile, and the state service is down, so the fencing token can't be raised to reject the command. The
// task must not start when the command arrives.
func TestDelayedRunOfCancelledJob(t *testing.T) {
	w := settledWorldWith(t, 24, Small, func(*World) {})
	w.deterministic = true
	w.faults.delayedCommands, w.faults.commandDelay = 1, w.cancelTime()+4*time.Second
	for _, h := range w.hosts {
		h.noReports = true                                   // otherwise an answer to a report could carry the command before the delayed direct one
		h.images[w.users.jobs[arrayJobID].spec.Image] = true // no image fetch: a task starts as soon as its command arrives
	}
	j := w.submitCopy(arrayJobID, secondArrayJobID)
	runSent := false
	w.Tamper.Output = func(n *member, o controller.Output) controller.Output {
		if call, ok := o.(controller.WorkerCall); ok {
			for _, c := range call.Commands.Commands {
				runSent = runSent || c.Op == wire.OpRun && strings.HasPrefix(c.Task, secondArrayJobID)
			}
		}
		return o
	}
	for until := w.now + 2*time.Second; !runSent && w.now < until; {
		w.Run(w.now + time.Millisecond)
	}
	if !runSent {
		t.Fatal("the command to run the task was not sent within 2 s")
	}
	w.faults.delayedCommands = 0 // the stop command is not delayed: it arrives before the task does and has no effect
	cancelThrough(t, w, otherMember(w, w.leaderOrFirst()), secondArrayJobID)
	cancelledAt := w.now
	w.store.setOutage(true)
	for _, h := range w.hosts {
		h.noReports = false
	}
	w.Run(cancelledAt + w.cancelTime() + 20*time.Second)
	if j.hasStarted {
		t.Error("a task of the cancelled job has started")
	}
	checkNoTaskRuns(t, w, secondArrayJobID)
}
