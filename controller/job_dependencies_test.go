package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
	"pumicefront/wire"
)

// A needed job inherits the dependent's priority and its deadline less the dependent's estimated
// duration. The dependent's waiting time counts from the end of the job that it needs.
func TestPriorityAndDeadlineAreInherited(t *testing.T) {
	c, l, first, second := newDependentJobs(t)
	if first.terms.Rank != second.terms.Rank || first.deadline.within(1) != 80 || !l.blocked(second) {
		t.Fatalf("rank %d, due in %v, blocked %v", first.terms.Rank, first.deadline, l.blocked(second))
	}
	first.spec.Spot = true
	if ds := l.demands(); len(ds) != 2 || ds[1].Job != "req-000010" || ds[1].Rank != 1 || !ds[1].PreferNonSpot || ds[0].PreferNonSpot {
		t.Fatalf("demands %+v", ds)
	}
	c.now = c.now.Add(30 * time.Second)
	c.applyFinal(first.id, finalRecord{Tasks: 1, EndedMS: c.now.UnixMilli()})
	c.headerChanged(first.id, nil)
	c.now = c.now.Add(5 * time.Second)
	if l.blocked(second) || c.now.Sub(second.ready) != 5*time.Second {
		t.Errorf("blocked %v, ready since %v", l.blocked(second), second.ready)
	}
}

// A blocked job uses no part of its team's guarantee, which stays available to the team's other
// jobs. Once the job is ready, it uses its part.
func TestBlockedJobsUseNoGuarantee(t *testing.T) {
	c, l, first, second := newDependentJobs(t)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 1, CPUsMax: 4})
	for _, j := range []*job{first, second} {
		j.spec.Team, j.terms.Team = "red", "red"
	}
	second.spec.CPUs = 0.25 // less work, so it would take the guarantee first
	l.assignGuarantees()
	if first.terms.Borrowed {
		t.Error("a blocked job uses the guarantee")
	}
	c.applyFinal(first.id, finalRecord{Tasks: 1})
	l.guaranteesAssignedAt = time.Time{}
	l.assignGuarantees()
	if !first.terms.Borrowed || second.terms.Borrowed {
		t.Errorf("beyond the guarantee: first %v, second %v", first.terms.Borrowed, second.terms.Borrowed)
	}
}

// A leader that has neither the header nor the outcome of a needed job reads its final record, and
// keeps the dependents blocked until it has it.
func TestUnknownOutcomeBlocksDependents(t *testing.T) {
	c, l, _, second := newDependentJobs(t)
	c.out = nil
	c.watchCache.loaded = true
	c.headerChanged("req-000010", nil)
	if !l.blocked(second) || len(c.out) == 0 {
		t.Fatalf("blocked %v, outputs %v", l.blocked(second), c.out)
	}
}

// The final record of a cancelled job is not written while an unfinished job needs it: every
// controller derives from the cancelled header that the dependent is cancelled.
func TestCancelledJobKeepsHeaderWhileNeeded(t *testing.T) {
	c, l, first, second := newDependentJobs(t)
	c.headerChanged(first.id, &headerRecord{Job: first.spec, Cancelled: true, TasksPerChunk: 10})
	if !second.cancelled || c.jobState(second.id).State != wire.StateCancelled {
		t.Fatalf("state of the dependent: %v", c.jobState(second.id))
	}
	if w := l.writes.compose(first); w != nil {
		t.Fatalf("the final record of the needed job is written too early: %+v", w.txn)
	}
	w := l.writes.compose(second)
	if w == nil || w.final == nil || !w.final.Cancelled {
		t.Fatalf("write of the dependent: %+v", w)
	}
	c.headerChanged(second.id, nil)
	if w := l.writes.compose(first); !first.dirty || w == nil || w.final == nil {
		t.Fatalf("needed job: dirty %v, write %+v", first.dirty, w)
	}
}

// The jobs that a submission needs are looked up anew. One that was never accepted gives 422, one
// whose state can't be determined now gives 503. While a controller of version 2 may run, the header
// is written on the condition that the needed jobs are unchanged since the lookup.
func TestSubmissionsThatNeedOthers(t *testing.T) {
	c, _, first, _ := newDependentJobs(t)
	acceptSubmissions(c)
	setMemberVersions(c, firstVersionWithDependencies)
	submit := func(needs ...string) (answer *Answer, txn *StateCall) { return submitWithNeeds(c, nil, needs) }
	if a, _ := submit("req-000077"); a == nil || a.Status != http.StatusUnprocessableEntity {
		t.Errorf("submission that needs an unknown job: %+v", a)
	}
	if a, _ := submit("req-000099"); a == nil || a.Status != http.StatusUnprocessableEntity {
		t.Errorf("submission that needs itself: %+v", a)
	}
	if _, txn := submit(first.id, first.id); txn == nil || len(txn.Txn.If) != 3 || txn.Txn.If[2] != (wire.Cond{Key: headerKey(first.id), Version: 1}) {
		t.Errorf("submission that needs an unfinished job: %+v", txn)
	}
	c.headerChanged(first.id, &headerRecord{Job: first.spec, Cancelled: true, TasksPerChunk: 10})
	if _, txn := submit(first.id); txn == nil || !decode[headerRecord](txn.Txn.Then[0].Value).Cancelled {
		t.Errorf("submission that needs a cancelled job: %+v", txn)
	}
	c.watchCache.memberVersions["n2"] = 0
	if a, _ := submit(first.id); a == nil || a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("submission while an earlier version may lead: %+v", a)
	}
	c.watchCache.unreachable = true
	if a, _ := submit(first.id); a == nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("submission without the state service: %+v", a)
	}
}

// A header with a long list of needed jobs fits into the upcoming value size limit, or the
// submission is refused permanently.
func TestLongListsOfNeededJobs(t *testing.T) {
	c, _, _, _ := newDependentJobs(t)
	kb, ops := 2.0, 5
	c.cfg.Facts.State.Next.ValueKB, c.cfg.Facts.State.Next.TxnOps = &kb, &ops
	acceptSubmissions(c)
	spec := wire.Job{ID: "req-000099", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1, Image: "i"}
	refused := 0
	for refused == 0 && len(spec.Needs) < 1000 {
		id := fmt.Sprintf("req-%06d", 1000+len(spec.Needs))
		c.applyFinal(id, finalRecord{Tasks: 1})
		spec.Needs = append(spec.Needs, id)
		c.out = nil
		c.submit(UserRequest{Req: 5, Op: UserSubmit, Body: wire.Marshal(spec)})
		for _, o := range c.out {
			switch o := o.(type) {
			case Answer:
				t.Fatalf("%d needed jobs: %+v", len(spec.Needs), o)
			case StateCall:
				if o.Op == OpWatch { // looks up whether the job is known: the header is too large
					refused = len(spec.Needs)
				} else if n := wire.Size(o.Txn.Then[0].Value); n > 2048 {
					t.Fatalf("%d needed jobs: a value of %d characters", len(spec.Needs), n)
				}
			}
		}
		c.writes = rate.NewLimiter(rate.Inf, 0)
	}
	if refused < 100 {
		t.Errorf("first refused with %d needed jobs (0: never refused), want at least 100", refused)
	}
	t.Logf("%d needed jobs fit", refused-1)
}

// A submission may need any number of unfinished jobs and is accepted in one transaction within the
// state service's limits. With one condition per needed job, a submission with more than 18 of them
// got 503 on every attempt.
func TestMoreNeededJobsThanConditions(t *testing.T) {
	c, _, first, _ := newDependentJobs(t)
	acceptSubmissions(c)
	ops := 5
	c.cfg.Facts.State.Next.TxnOps = &ops
	var needs []string
	for n := range 40 {
		spec := first.spec
		spec.ID = fmt.Sprintf("req-%06d", 500+n)
		c.headerChanged(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 10})
		needs = append(needs, spec.ID)
	}
	if answer, txn := submitWithNeeds(c, nil, needs); txn == nil || len(txn.Txn.If) > 4*ops {
		t.Errorf("submission that needs %d unfinished jobs: answer %+v, write %+v", len(needs), answer, txn)
	}
	setMemberVersions(c, firstVersionWithDependencies) // version 2 determines job states from headers alone
	if answer, txn := submitWithNeeds(c, nil, needs); answer == nil || answer.Status != http.StatusServiceUnavailable {
		t.Errorf("submission while version 2 runs: answer %+v, write %+v", answer, txn)
	}
}

// A job may be accepted while a job that it needs is cancelled and finished, so that no header shows
// the cancellation any more. A controller must look up the outcome before it answers about the
// dependent: otherwise two controllers would report it as cancelled and queued in turn.
func TestOutcomesOfNeededJobsAreReadBeforeAnswers(t *testing.T) {
	cancelled := map[string]finalRecord{"req-000010": {Cancelled: true, Tasks: 1}}
	for name, request := range map[string]UserRequest{
		"poll":                          {Req: 6, Op: UserPoll, Job: "req-000011"},
		"repeated submission":           {Req: 6, Op: UserSubmit, Body: jobBody("req-000011")},
		"cancel":                        {Req: 6, Op: UserCancel, Job: "req-000011"},
		"poll of an indirect dependent": {Req: 6, Op: UserPoll, Job: "req-000012"},
		"repeated submission of an indirect dependent": {Req: 6, Op: UserSubmit, Body: jobBody("req-000012")},
	} {
		c, _, first, second := newDependentJobs(t)
		acceptSubmissions(c)
		c.lead = nil // a controller that doesn't lead doesn't get outcomes unless it reads them
		third := second.spec
		third.ID, third.Needs = "req-000012", []string{second.id}
		c.headerChanged(third.ID, &headerRecord{Job: third, TasksPerChunk: 10})
		c.headerChanged(first.id, nil)
		c.out = nil
		c.handleUserRequest(request)
		answer, txn := (&stateServiceStub{finals: cancelled}).serve(c)
		if answer == nil || answer.Status != http.StatusOK || answer.Body.(wire.JobState).State != wire.StateCancelled {
			t.Errorf("%s: answer %+v, write %+v", name, answer, txn)
		}
	}
}

// No final record is read for a job that has running or done tasks. Otherwise a controller that has
// just started would read the final records of all jobs that running jobs have needed.
func TestStartedJobsNeedNoReads(t *testing.T) {
	c, _, first, second := newDependentJobs(t)
	acceptSubmissions(c)
	c.lead = nil
	c.headerChanged(first.id, nil)
	readsFor := func(req uint64) int {
		state := stateServiceStub{finals: map[string]finalRecord{first.id: {Tasks: 1}}}
		c.out = nil
		c.handleUserRequest(UserRequest{Req: req, Op: UserPoll, Job: second.id})
		if answer, _ := state.serve(c); answer == nil || answer.Status != http.StatusOK {
			t.Errorf("request %d: answer %+v", req, answer)
		}
		return state.reads
	}
	c.progress[second.id] = jobCount{running: 1}
	if n := readsFor(6); n != 0 {
		t.Errorf("%d final records are read for a running job", n)
	}
	delete(c.progress, second.id)
	if n := readsFor(7); n != 1 {
		t.Errorf("%d final records are read for a job that has not started, want 1", n)
	}
	if n := readsFor(8); n != 0 {
		t.Errorf("%d final records are read when the outcome is known", n)
	}
}
