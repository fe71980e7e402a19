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

// recoveringLeader returns a leader with zone recovery enabled and one zone, a, in state lost.
func recoveringLeader(t *testing.T) (*Core, *leader) {
	t.Helper()
	c, l, _ := newLeadingCore(t)
	c.op.ZoneRecovery = &config.ZoneRecovery{Settings: zones.DefaultSettings()}
	l.zones = newZoneRecovery(l)
	stored := zones.Record{State: zones.Lost.String(), SinceMS: c.now.UnixMilli(), Penalty: 1, Window: 8, WrittenMS: c.now.UnixMilli()}
	l.zones.restoreZones([]wire.Item{{Key: "z/a", Value: wire.Marshal(stored), Version: 5}})
	if l.zones.tracker.State("a") != zones.Lost {
		t.Fatal("the zone's state is not restored from its record")
	}
	return c, l
}

// zoneWrites returns the transactions on zone records in the core's output, and clears the output.
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

// Versions before zone recovery read and remove keys under these prefixes only. Zone records must not
// be under any of them.
func TestZoneRecordsUsePrefixUnreadByEarlierVersions(t *testing.T) {
	for _, prefix := range []string{watchedPrefix, taskPrefix, finalPrefix, rentalPrefix} {
		if strings.HasPrefix(zonePrefix, prefix) || strings.HasPrefix(prefix, zonePrefix) {
			t.Errorf("%s is read by earlier versions under %s", zonePrefix, prefix)
		}
	}
}

// A zone record is written only when it has changed enough, with one write in flight, and on the
// conditions that this controller leads and that the record has the known version.
func TestZoneRecordsAreWrittenOnce(t *testing.T) {
	c, l := recoveringLeader(t)
	c.out = nil
	step := func() []StateCall {
		c.now = c.now.Add(time.Second)
		l.authority = c.now.Add(time.Second)
		l.zones.saveRecords()
		return zoneWrites(c)
	}
	if calls := step(); len(calls) > 0 {
		t.Fatalf("writes %+v though nothing has changed", calls)
	}
	l.zones.tracker.Observe(c.now, []zones.Health{{Zone: "a", Responsive: 3}, {Zone: "b", Responsive: 3}})
	calls := step()
	if len(calls) != 1 || calls[0].Txn.Then[0].Put != "z/a" || len(calls[0].Txn.If) != 2 || calls[0].Txn.If[0] != l.leadershipCondition() ||
		calls[0].Txn.If[1] != (wire.Cond{Key: "z/a", Version: 5}) {
		t.Fatalf("%+v", calls)
	}
	if again := step(); len(again) > 0 {
		t.Fatalf("writes %+v while another write is in flight", again)
	}
	resume(c.stateCalls, calls[0].ID, StateReply{ID: calls[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 9}})
	if again := step(); len(again) > 0 || l.zones.records["a"].version != 9 {
		t.Fatalf("writes %+v after the write, known version %d", again, l.zones.records["a"].version)
	}
}

// After a write without an answer the zone record is read again; the write is not repeated blindly.
func TestZoneRecordIsRereadAfterUnconfirmedWrite(t *testing.T) {
	c, l := recoveringLeader(t)
	l.zones.tracker.Observe(c.now, []zones.Health{{Zone: "a", Responsive: 3}, {Zone: "b", Responsive: 3}})
	c.now = c.now.Add(time.Second)
	l.authority = c.now.Add(time.Minute)
	l.zones.saveRecords()
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
	stored := l.zones.records["a"]
	if reads != 1 || stored.version != 7 || stored.writeInFlight || stored.record.State != zones.HeldDown.String() {
		t.Errorf("%d reads, want 1, then the stored record is %+v", reads, stored)
	}
}

// With zone recovery disabled, a leader reads and writes no zone records.
func TestZoneRecoveryOff(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	if l.zones != nil || l.zones.recovering() || l.zones.limitRentals("a", 7) != 7 {
		t.Fatal("zone recovery is enabled")
	}
	c.out = nil
	l.run()
	if calls := zoneWrites(c); len(calls) > 0 {
		t.Errorf("%+v", calls)
	}
}

// A job's kind, priority and objectives decide its restart phase. A batch job that will be late but is
// not overdue yet must not restart with the jobs without an objective: there it waited twice as long
// as without zone recovery.
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
		"prod batch":           {wire.KindArray, "prod", "a", 10, 0, scheduler.RestartDeadlineBatches},
		"can still be in time": {wire.KindArray, "standard", "a", 60, 40, scheduler.RestartDeadlineBatches},
		"will be late":         {wire.KindArray, "standard", "a", 60, 41, scheduler.RestartDeadlineBatches},
		"overdue":              {wire.KindArray, "standard", "a", 60, 101, scheduler.RestartDeadlineBatches},
		"without an objective": {wire.KindArray, "standard", "b", 60, 0, scheduler.RestartRest},
	} {
		j := l.addJob("req-000500", &headerRecord{TasksPerChunk: 10, AcceptedMS: c.now.Add(-config.Seconds(k.age)).UnixMilli(),
			Job: wire.Job{ID: "req-000500", Kind: k.kind, Priority: k.priority, Class: k.class, Tasks: 1, CPUs: 1, EstimateS: k.estimate}})
		if got := l.zones.restartPhase(j); got != k.want {
			t.Errorf("%s: phase %d, want %d", name, got, k.want)
		}
	}
}

// Starts are not throttled forever: after maxThrottleTime a job's starts are no longer limited, also for
// an old job that has already started.
func TestThrottlingIsBounded(t *testing.T) {
	c, l := recoveringLeader(t)
	j := l.jobs["req-000001"]
	j.hasStarted = true
	limited := func() bool {
		demands := l.demands()
		l.zones.limitStarts(demands)
		if len(demands) != 1 || demands[0].RestartPhase != scheduler.RestartRest {
			t.Fatalf("%d demands, the first %+v", len(demands), demands[0])
		}
		return demands[0].StartLimits["a"] != nil
	}
	if !limited() {
		t.Fatal("not limited at first")
	}
	c.now = c.now.Add(maxThrottleTime - time.Second)
	if !limited() {
		t.Error("no longer limited before maxThrottleTime has passed")
	}
	c.now = c.now.Add(time.Second)
	if limited() {
		t.Errorf("still limited after %v", maxThrottleTime)
	}
}

// Machines released as silent still count as silent for a while. Otherwise the fault of their zone
// would go undetected once the last of them is released, and new machines would be rented there.
func TestReleasedSilentMachinesStillCount(t *testing.T) {
	c, l := recoveringLeader(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		m := l.machine(id)
		m.zone, m.up, m.lastHeartbeat = "b", true, c.now
	}
	l.release(l.machines["i-1"], releaseSilent)
	l.release(l.machines["i-2"], releaseSilentSinceElection)
	l.release(l.machines["i-3"], releaseIdle)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		l.autoscaler.forgetMachine(id)
	}
	if counts := l.zones.health(); len(counts) != 1 || counts[0] != (zones.Health{Zone: "b", Silent: 2}) {
		t.Errorf("%+v", counts)
	}
	c.now = c.now.Add(time.Minute)
	if counts := l.zones.health(); len(counts) != 0 {
		t.Errorf("%+v a minute after the releases, want none", counts)
	}
}

// A job may be restricted to one zone by its machine types alone. Headroom that is rented ahead never
// comes before waiting jobs.
func TestRestrictedByMachineTypes(t *testing.T) {
	c, l := recoveringLeader(t)
	c.setTypes([]wire.MachineType{{Name: "small", Zones: []string{"a", "b"}}, {Name: "rare", Zones: []string{"a"}}})
	j := l.jobs["req-000001"]
	headroom := c.demandOf(&j.spec)
	headroom.Job = "headroom/x"
	for types, want := range map[string]string{"small": "", "rare": "a"} {
		j.spec.Types = []string{types}
		d := c.demandOf(&j.spec)
		l.zones.excludeClosedZones([]*scheduler.Demand{d, headroom})
		if d.OnlyZone != want || headroom.RestartPhase != scheduler.RestartRest || d.StartLimits["a"] == nil {
			t.Errorf("job of type %s: %+v, headroom in phase %d", types, d, headroom.RestartPhase)
		}
	}
}

// A machine that has sent no heartbeat to this leader counts as silent only while an attempt of an
// earlier leader may run there. A machine known only from the cloud's list may never come up.
func TestSilenceOfMachinesThatNeverReported(t *testing.T) {
	c, l := recoveringLeader(t)
	j := l.jobs["req-000001"]
	for task, id := range []string{"i-1", "i-2"} {
		m := l.machine(id)
		m.zone = "b"
		placeAttempt(l, j, task, m).restored = true
	}
	listed := l.machine("i-3")
	listed.zone, listed.typ = "b", "small"
	l.failureDetector.listening.startedAt = c.now
	c.now = c.now.Add(l.zones.reconnectTimeout() + time.Second)
	if counts := l.zones.health(); len(counts) != 1 || counts[0].Silent != 2 || counts[0].Responsive != 0 {
		t.Errorf("%+v with attempts on record", counts)
	}
	for _, a := range j.sortedAttempts() {
		l.removeAttempt(a, reduction.Reset, proofLeaseExpired)
	}
	if counts := l.zones.health(); len(counts) != 0 {
		t.Errorf("%+v after all attempts have ended, want none", counts)
	}
}
