package controller

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/wire"
)

// A write that the budget doesn't allow must stay due. If it were lost, its tasks would never start.
func TestRefusedWriteStaysDirty(t *testing.T) {
	c, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	placeAttempt(l, j, 0, m).phase = attemptPlanned
	j.markTaskDirty(0, c.now)
	j.urgent = true // like a write after a placement
	l.budget.all = rate.NewLimiter(1, 1)
	l.budget.spend(c.now, 1, true)
	l.writes.flush()
	if j.write != nil || !j.dirty || !j.chunks[0].dirty {
		t.Fatal("a write that exceeded the budget is not dirty any more")
	}
	c.now = c.now.Add(time.Second)
	l.extend(c.now, c.op.LeaderLeaseTTL())
	l.writes.flush()
	if j.write == nil {
		t.Fatal("no write after the budget has recovered")
	}
}

// A transaction may hold more changes than the budget's burst. Obsolete records must be deleted
// nonetheless: otherwise every new leader reads them, and counts the machines of rental requests
// that were completed long ago as booting.
func TestDeletionFitsTheBudget(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.cfg.Facts.State.TxnOps = 32
	for i := range 100 {
		l.obsoleteKeys = append(l.obsoleteKeys, fmt.Sprintf("h/r-1-%d", i))
	}
	for range 10 {
		c.now = c.now.Add(time.Second)
		l.writes.deleteObsolete()
	}
	if n := len(l.obsoleteKeys); n > 0 {
		t.Errorf("%d of 100 obsolete records are not deleted after ten seconds", n)
	}
}

// After a full reload of the watched records, the first version of a job that the leader gets may
// already be cancelled. Its final record must still be written.
func TestJobFirstSeenCancelledGetsFinalRecord(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	spec := wire.Job{ID: "req-000002", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1}
	c.headerChanged(spec.ID, &headerRecord{Job: spec, Cancelled: true, TasksPerChunk: 10})
	j := l.jobs[spec.ID]
	if w := l.writes.compose(j); !j.dirty || w == nil || w.final == nil || !w.final.Cancelled {
		t.Fatalf("dirty %v, write %+v: want a write of the cancelled final record", j.dirty, w)
	}
}
