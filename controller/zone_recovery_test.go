package controller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicefront/config"
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
