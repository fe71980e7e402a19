package controller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
	"pumicefront/zones"
)

// recoveringLeader is a leader with zone recovery on, to which one zone is lost.
func recoveringLeader(t *testing.T) (*Core, *leader) {
	t.Helper()
	c, l, _ := leading(t)
	c.op.ZoneRecovery = &config.ZoneRecovery{Settings: zones.DefaultSettings()}
	l.zones = newZoneRecovery(l)
	kept := zones.Record{State: zones.Lost.String(), SinceMS: c.now.UnixMilli(), Penalty: 1, Window: 8, WrittenMS: c.now.UnixMilli()}
	l.zones.restoreZones([]wire.Item{{Key: "z/a", Value: wire.Marshal(kept), Version: 5}})
	if l.zones.tracker.State("a") != zones.Lost {
		t.Fatal("the zone's record is not taken up")
	}
	return c, l
}

// zoneWrites lists the transactions on records of zones that the core asks for.
func zoneWrites(c *Core) []StateCall {
	var calls []StateCall
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn && strings.HasPrefix(call.Txn.Then[0].Put+call.Txn.Then[0].Delete, zonePrefix) {
			calls = append(calls, call)
		}
	}
	c.out = nil
	return calls
}

// The versions before zone recovery read what is under these prefixes, and remove nothing else:
// records of zones must be out of their sight.
func TestZoneRecordsAreOutOfSightOfEarlierVersions(t *testing.T) {
	for _, prefix := range []string{controlPrefix, taskPrefix, finalPrefix, rentalPrefix} {
		if strings.HasPrefix(zonePrefix, prefix) || strings.HasPrefix(prefix, zonePrefix) {
			t.Errorf("%s is read by earlier versions under %s", zonePrefix, prefix)
		}
	}
}

// A record is written when it is worth it and no more often, on the condition that this
// controller leads and of the version that it knows.
func TestZoneRecordsAreWrittenOnce(t *testing.T) {
	c, l := recoveringLeader(t)
	c.out = nil
	step := func() []StateCall {
		c.now = c.now.Add(time.Second)
		l.authority = c.now.Add(time.Second)
		l.zones.keepRecords()
		return zoneWrites(c)
	}
	if calls := step(); len(calls) > 0 {
		t.Fatalf("%+v though nothing has changed", calls)
	}
	l.zones.tracker.Observe(c.now, []zones.Health{{Zone: "a", Responsive: 3}, {Zone: "b", Responsive: 3}})
	calls := step()
	if len(calls) != 1 || calls[0].Txn.Then[0].Put != "z/a" || len(calls[0].Txn.If) != 2 || calls[0].Txn.If[0] != l.leadershipCondition() ||
		calls[0].Txn.If[1] != (wire.Cond{Key: "z/a", Version: 5}) {
		t.Fatalf("%+v", calls)
	}
	if again := step(); len(again) > 0 {
		t.Fatalf("%+v while a write is under way", again)
	}
	resume(c.stateCalls, calls[0].ID, StateReply{ID: calls[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 9}})
	if again := step(); len(again) > 0 || l.zones.records["a"].version != 9 {
		t.Fatalf("%+v after the write, version %d", again, l.zones.records["a"].version)
	}
}

// A write without an answer is looked up, not repeated blindly.
func TestZoneRecordInDoubtIsReadAgain(t *testing.T) {
	c, l := recoveringLeader(t)
	l.zones.tracker.Observe(c.now, []zones.Health{{Zone: "a", Responsive: 3}, {Zone: "b", Responsive: 3}})
	c.now = c.now.Add(time.Second)
	l.authority = c.now.Add(time.Minute)
	l.zones.keepRecords()
	calls := zoneWrites(c)
	resume(c.stateCalls, calls[0].ID, StateReply{ID: calls[0].ID})
	c.now = c.now.Add(time.Second)
	c.runTimers()
	reads := 0
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpGet && call.Key == "z/a" {
			reads++
			resume(c.stateCalls, call.ID, StateReply{ID: call.ID, Status: http.StatusOK, Item: wire.Item{Key: "z/a", Value: calls[0].Txn.Then[0].Value, Version: 7}})
		}
	}
	kept := l.zones.records["a"]
	if reads != 1 || kept.version != 7 || kept.writing || kept.record.State != zones.HeldDown.String() {
		t.Errorf("%d reads, then %+v", reads, kept)
	}
}

// Off, a leader reads and writes nothing of zones.
func TestZoneRecoveryOff(t *testing.T) {
	c, l, _ := leading(t)
	if l.zones != nil || l.zones.recovering() || l.zones.rentable("a", 7) != 7 {
		t.Fatal("zone recovery is on")
	}
	c.out = nil
	l.run()
	if calls := zoneWrites(c); len(calls) > 0 {
		t.Errorf("%+v", calls)
	}
}

// What a job is decides when it restarts. A batch that will be late and is not overdue yet does not
// go behind those that have no aim: counted to the rest, it waited twice as long as without recovery.
func TestRestartPhase(t *testing.T) {
	c, l := recoveringLeader(t)
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "a", WithinS: 100}}
	for name, k := range map[string]struct {
		kind, priority, class string
		estimate, age         float64
		want                  scheduler.RestartPhase
	}{
		"prod service":         {wire.KindService, "prod", "s", 0, 0, scheduler.RestartProdServices},
		"other service":        {wire.KindService, "high", "s", 0, 0, scheduler.RestartServices},
		"prod batch":           {wire.KindArray, "prod", "a", 10, 0, scheduler.RestartTimelyBatches},
		"can still be in time": {wire.KindArray, "standard", "a", 60, 40, scheduler.RestartTimelyBatches},
		"will be late":         {wire.KindArray, "standard", "a", 60, 41, scheduler.RestartTimelyBatches},
		"overdue":              {wire.KindArray, "standard", "a", 60, 101, scheduler.RestartTimelyBatches},
		"without an aim":       {wire.KindArray, "standard", "b", 60, 0, scheduler.RestartRest},
	} {
		j := l.addJob("req-000500", &headerRecord{PerChunk: 10, AcceptedMS: c.now.Add(-config.Seconds(k.age)).UnixMilli(),
			Job: wire.Job{ID: "req-000500", Kind: k.kind, Priority: k.priority, Class: k.class, Tasks: 1, CPUs: 1, EstimateS: k.estimate}})
		if got := l.zones.restartPhase(j); got != k.want {
			t.Errorf("%s: phase %d, want %d", name, got, k.want)
		}
	}
}

// Nobody waits for ever for a zone: after limitedWait a job's starts are not held back any more,
// though it runs already and is old.
func TestStartsAreHeldBackForAWhile(t *testing.T) {
	c, l := recoveringLeader(t)
	j := l.jobs["req-000001"]
	j.begun = true
	limited := func() bool {
		ds := l.demands()
		l.zones.limitStarts(ds)
		if len(ds) != 1 || ds[0].Phase != scheduler.RestartRest {
			t.Fatalf("%d demands, the first %+v", len(ds), ds[0])
		}
		return ds[0].Limits["a"] != nil
	}
	if !limited() {
		t.Fatal("not limited at first")
	}
	c.now = c.now.Add(limitedWait - time.Second)
	if !limited() {
		t.Error("not limited any more too soon")
	}
	c.now = c.now.Add(time.Second)
	if limited() {
		t.Errorf("limited after %v", limitedWait)
	}
}

// Machines that are given up speak for the fault of their zone for a while: otherwise it would be
// forgotten with the last of them, and new ones be rented there.
func TestGivenUpMachinesAreEvidence(t *testing.T) {
	c, l := recoveringLeader(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		m := l.machine(id)
		m.zone, m.up, m.reported = "b", true, c.now
	}
	l.release(l.machines["i-1"], releaseSilent)
	l.release(l.machines["i-2"], releaseSilentSinceElection)
	l.release(l.machines["i-3"], releaseIdle)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		l.autoscaler.forgetMachine(id)
	}
	if look := l.zones.health(); len(look) != 1 || look[0] != (zones.Health{Zone: "b", Silent: 2}) {
		t.Errorf("%+v", look)
	}
	c.now = c.now.Add(time.Minute)
	if look := l.zones.health(); len(look) != 0 {
		t.Errorf("%+v a minute later", look)
	}
}

// A job may be bound to a zone by its machine types alone; and what is rented ahead never goes before
// jobs that wait.
func TestBoundByMachineTypes(t *testing.T) {
	c, l := recoveringLeader(t)
	c.setTypes([]wire.MachineType{{Name: "small", Zones: []string{"a", "b"}}, {Name: "rare", Zones: []string{"a"}}})
	j := l.jobs["req-000001"]
	ahead := c.demandOf(&j.spec)
	ahead.Job = "headroom/x"
	for types, want := range map[string]string{"small": "", "rare": "a"} {
		j.spec.Types = []string{types}
		d := c.demandOf(&j.spec)
		l.zones.closeZones([]*scheduler.Demand{d, ahead})
		if d.OnlyZone != want || ahead.Phase != scheduler.RestartRest || d.Limits["a"] == nil {
			t.Errorf("%s: %+v, headroom in phase %d", types, d, ahead.Phase)
		}
	}
}

// A machine that has not reported to this leader speaks for a fault of its zone only while something
// of an earlier leader's may run there: one that is merely listed may never come up.
func TestSilenceOfMachinesThatNeverReported(t *testing.T) {
	c, l := recoveringLeader(t)
	j := l.jobs["req-000001"]
	for task, id := range []string{"i-1", "i-2"} {
		m := l.machine(id)
		m.zone = "b"
		place(l, j, task, m).restored = true
	}
	listed := l.machine("i-3")
	listed.zone, listed.typ = "b", "small"
	l.failures.listening.began = c.now
	c.now = c.now.Add(l.zones.findsLeaderWithin() + time.Second)
	if look := l.zones.health(); len(look) != 1 || look[0].Silent != 2 || look[0].Responsive != 0 {
		t.Errorf("%+v with work on record", look)
	}
	for _, a := range j.sortedAttempts() {
		l.gone(a, reduction.Reset, proofLeaseExpired)
	}
	if look := l.zones.health(); len(look) != 0 {
		t.Errorf("%+v when nothing can run there any more", look)
	}
}
