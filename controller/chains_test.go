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

// What a job needs has its priority and, less the estimate of what comes after, its
// deadline. Its own times count from the end of what it needs.
func TestPriorityAndDeadlineAreInherited(t *testing.T) {
	c, l, first, second := chain(t)
	if first.terms.Rank != second.terms.Rank || first.due.within(1) != 80 || !l.blocked(second) {
		t.Fatalf("rank %d, due in %v, held %v", first.terms.Rank, first.due, l.blocked(second))
	}
	first.spec.Spot = true
	if ds := l.demands(); len(ds) != 2 || ds[1].Job != "req-000010" || ds[1].Rank != 1 || !ds[1].KeepOffSpot || ds[0].KeepOffSpot {
		t.Fatalf("demands %+v", ds)
	}
	c.now = c.now.Add(30 * time.Second)
	c.jobEnded(first.id, finalRecord{Tasks: 1, EndedMS: c.now.UnixMilli()})
	c.headerChanged(first.id, nil)
	c.now = c.now.Add(5 * time.Second)
	if l.blocked(second) || c.now.Sub(second.ready) != 5*time.Second {
		t.Errorf("held %v, ready since %v", l.blocked(second), second.ready)
	}
}

// A job that waits for others takes no part of its team's guarantee: the team's other work
// stays within it. Once it is ready, it takes its part.
func TestWaitingJobsLeaveTheGuarantee(t *testing.T) {
	c, l, first, second := chain(t)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 1, CPUsMax: 4})
	for _, j := range []*job{first, second} {
		j.spec.Team, j.terms.Team = "red", "red"
	}
	second.spec.CPUs = 0.25 // less work: it would come first
	l.assignGuarantees()
	if first.terms.Borrowed {
		t.Error("a job that waits takes the guarantee")
	}
	c.jobEnded(first.id, finalRecord{Tasks: 1})
	l.guaranteesAt = time.Time{}
	l.assignGuarantees()
	if !first.terms.Borrowed || second.terms.Borrowed {
		t.Errorf("beyond the guarantee: first %v, second %v", first.terms.Borrowed, second.terms.Borrowed)
	}
}

// A leader that finds neither the header nor the end of a needed job asks for its final
// record and releases nothing before it has it.
func TestUnknownEndHoldsWhatNeedsIt(t *testing.T) {
	c, l, _, second := chain(t)
	c.out = nil
	c.control.loaded = true
	c.headerChanged("req-000010", nil)
	if !l.blocked(second) || len(c.out) == 0 {
		t.Fatalf("held %v, asks %v", l.blocked(second), c.out)
	}
}

// The end of a cancelled job is not written while an unfinished one needs it: every
// controller derives from its header that the other is cancelled.
func TestCancelledJobStaysWhileItIsNeeded(t *testing.T) {
	c, l, first, second := chain(t)
	c.headerChanged(first.id, &headerRecord{Job: first.spec, Cancelled: true, PerChunk: 10})
	if !second.cancelled || c.jobState(second.id).State != wire.StateCancelled {
		t.Fatalf("the job that needs it: %v", c.jobState(second.id))
	}
	if w := l.writes.compose(first); w != nil {
		t.Fatalf("its end is written: %+v", w.txn)
	}
	w := l.writes.compose(second)
	if w == nil || w.final == nil || !w.final.Cancelled {
		t.Fatalf("the end of the job that needs it: %+v", w)
	}
	c.headerChanged(second.id, nil)
	if w := l.writes.compose(first); !first.dirty || w == nil || w.final == nil {
		t.Fatalf("dirty %v, its end: %+v", first.dirty, w)
	}
}

// A submission's predecessors are looked up afresh: one that was never accepted is 422,
// one that can't be known now 503, and the acceptance holds only for what was found.
func TestSubmissionsThatNeedOthers(t *testing.T) {
	c, _, first, _ := chain(t)
	serving(c)
	members(c, firstVersionWithChains)
	submit := func(needs ...string) (answer *Answer, txn *StateCall) { return submitNeeding(c, nil, needs) }
	if a, _ := submit("req-000077"); a == nil || a.Status != http.StatusUnprocessableEntity {
		t.Errorf("needs an unknown job: %+v", a)
	}
	if a, _ := submit("req-000099"); a == nil || a.Status != http.StatusUnprocessableEntity {
		t.Errorf("needs itself: %+v", a)
	}
	if _, txn := submit(first.id, first.id); txn == nil || len(txn.Txn.If) != 3 || txn.Txn.If[2] != (wire.Cond{Key: headerKey(first.id), Version: 1}) {
		t.Errorf("needs an unfinished job: %+v", txn)
	}
	c.headerChanged(first.id, &headerRecord{Job: first.spec, Cancelled: true, PerChunk: 10})
	if _, txn := submit(first.id); txn == nil || !decode[headerRecord](txn.Txn.Then[0].Value).Cancelled {
		t.Errorf("needs a cancelled job: %+v", txn)
	}
	c.control.members["n2"] = 0
	if a, _ := submit(first.id); a == nil || a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("while an earlier version may lead: %+v", a)
	}
	c.control.unreachable = true
	if a, _ := submit(first.id); a == nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("without the state service: %+v", a)
	}
}

// A header with a long list of needed jobs fits into the smaller value that is to come,
// or is refused for good.
func TestLongListsOfNeededJobs(t *testing.T) {
	c, _, _, _ := chain(t)
	kb, ops := 2.0, 5
	c.cfg.Facts.State.Next.ValueKB, c.cfg.Facts.State.Next.TxnOps = &kb, &ops
	serving(c)
	spec := wire.Job{ID: "req-000099", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1, Image: "i"}
	refused := 0
	for refused == 0 && len(spec.Needs) < 1000 {
		id := fmt.Sprintf("req-%06d", 1000+len(spec.Needs))
		c.jobEnded(id, finalRecord{Tasks: 1})
		spec.Needs = append(spec.Needs, id)
		c.out = nil
		c.submit(UserRequest{Req: 5, Op: UserSubmit, Body: wire.Marshal(spec)})
		for _, o := range c.out {
			switch o := o.(type) {
			case Answer:
				t.Fatalf("%d needed jobs: %+v", len(spec.Needs), o)
			case StateCall:
				if o.Op == OpWatch { // asked whether the job is known: the header is too large
					refused = len(spec.Needs)
				} else if n := wire.Size(o.Txn.Then[0].Value); n > 2048 {
					t.Fatalf("%d needed jobs: a value of %d characters", len(spec.Needs), n)
				}
			}
		}
		c.writes = rate.NewLimiter(rate.Inf, 0)
	}
	if refused < 100 {
		t.Errorf("%d needed jobs are too many", refused)
	}
	t.Logf("%d needed jobs fit", refused-1)
}

// However many unfinished jobs a submission names, it is accepted in one transaction that
// the state service takes. Before, more than 18 got 503 until its user gave up.
func TestMoreNeededJobsThanConditions(t *testing.T) {
	c, _, first, _ := chain(t)
	serving(c)
	ops := 5
	c.cfg.Facts.State.Next.TxnOps = &ops
	var needs []string
	for n := range 40 {
		spec := first.spec
		spec.ID = fmt.Sprintf("req-%06d", 500+n)
		c.headerChanged(spec.ID, &headerRecord{Job: spec, PerChunk: 10})
		needs = append(needs, spec.ID)
	}
	if answer, txn := submitNeeding(c, nil, needs); txn == nil || len(txn.Txn.If) > 4*ops {
		t.Errorf("needs %d unfinished jobs: answer %+v, write %+v", len(needs), answer, txn)
	}
	members(c, firstVersionWithChains) // which tells of a job from headers alone
	if answer, txn := submitNeeding(c, nil, needs); answer == nil || answer.Status != http.StatusServiceUnavailable {
		t.Errorf("beside version 2: answer %+v, write %+v", answer, txn)
	}
}

// A job may be accepted just as one that it needs is cancelled and ends, so that no header
// tells of the cancellation any more. Before a controller tells of the job it finds out,
// or two of them would call it cancelled and queued in turn.
func TestEndsOfNeededJobsAreReadBeforeAnswers(t *testing.T) {
	cancelled := map[string]finalRecord{"req-000010": {Cancelled: true, Tasks: 1}}
	for name, request := range map[string]UserRequest{
		"poll":              {Req: 6, Op: UserPoll, Job: "req-000011"},
		"repeat":            {Req: 6, Op: UserSubmit, Body: body("req-000011")},
		"cancel":            {Req: 6, Op: UserAbort, Job: "req-000011"},
		"poll of a later":   {Req: 6, Op: UserPoll, Job: "req-000012"},
		"repeat of a later": {Req: 6, Op: UserSubmit, Body: body("req-000012")},
	} {
		c, _, first, second := chain(t)
		serving(c)
		c.lead = nil // a controller that doesn't lead is told of ends by nobody
		third := second.spec
		third.ID, third.Needs = "req-000012", []string{second.id}
		c.headerChanged(third.ID, &headerRecord{Job: third, PerChunk: 10})
		c.headerChanged(first.id, nil)
		c.out = nil
		c.user(request)
		answer, txn := (&stateStub{finals: cancelled}).serve(c)
		if answer == nil || answer.Status != http.StatusOK || answer.Body.(wire.JobState).State != wire.StateCancelled {
			t.Errorf("%s: answer %+v, write %+v", name, answer, txn)
		}
	}
}

// Of a job that has begun nothing is read: a controller that has just started would ask for
// the ends of all that running jobs have needed.
func TestBegunJobsNeedNoReads(t *testing.T) {
	c, _, first, second := chain(t)
	serving(c)
	c.lead = nil
	c.headerChanged(first.id, nil)
	readsFor := func(req uint64) int {
		state := stateStub{finals: map[string]finalRecord{first.id: {Tasks: 1}}}
		c.out = nil
		c.user(UserRequest{Req: req, Op: UserPoll, Job: second.id})
		if answer, _ := state.serve(c); answer == nil || answer.Status != http.StatusOK {
			t.Errorf("question %d: answer %+v", req, answer)
		}
		return state.reads
	}
	c.progress[second.id] = jobCount{running: 1}
	if n := readsFor(6); n != 0 {
		t.Errorf("%d final records are read for a job that runs", n)
	}
	delete(c.progress, second.id)
	if n := readsFor(7); n != 1 {
		t.Errorf("%d final records are read for a job that has not begun, want 1", n)
	}
	if n := readsFor(8); n != 0 {
		t.Errorf("%d final records are read once the end is known", n)
	}
}
