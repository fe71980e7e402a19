package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/wire"
)

// The first status of a new session may arrive in the answer to a direct command. Attempts
// placed in the new session must not count as lost when the old session's lease expires.
func TestNewSessionHasItsOwnLease(t *testing.T) {
	c, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1})
	c.now = c.now.Add(10 * time.Second)
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 2, Seq: 2})
	placeAttempt(l, j, 0, m)
	c.now = c.now.Add(time.Second)
	l.failureDetector.checkLeaseExpiry()
	if j.attempts[0] == nil {
		t.Fatal("an attempt of the new session counts as ended when the old session's lease expires")
	}
	c.now = c.now.Add(11 * time.Second)
	l.failureDetector.checkLeaseExpiry()
	if j.attempts[0] != nil {
		t.Fatal("the attempt is still active after the lease of its session has expired")
	}
}

// A heartbeat that does not list an attempt proves that it has ended only if no copy of its run
// command can still take effect.
func TestMissingAttemptNeedsHigherFencingToken(t *testing.T) {
	_, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := placeAttempt(l, j, 0, m)
	l.runCommand(a)
	l.failureDetector.applyHeartbeat(m, newReport(m, 7))
	if j.attempts[0] == nil {
		t.Fatal("attempt counts as ended while its run command may still arrive")
	}
	l.token = 8
	l.failureDetector.applyHeartbeat(m, newReport(m, 8))
	if j.attempts[0] != nil {
		t.Fatal("attempt still active though no copy of its run command can take effect")
	}
	// An earlier leader may have sent the run command with any token below this leader's first.
	b := placeAttempt(l, j, 1, m)
	b.phase, b.token = attemptSent, l.token-1
	l.failureDetector.applyHeartbeat(m, newReport(m, 7))
	if j.attempts[1] == nil {
		t.Fatal("attempt counts as ended after a heartbeat of a worker that has not received this leader's token")
	}
}

// The watch may deliver the deletion of a key before the reply to the write that created it
// arrives. The late reply must not restore the key.
func TestLateReplyDoesNotRestoreDeletedHeader(t *testing.T) {
	c, _, _ := newLeadingCore(t)
	h := wire.Marshal(headerRecord{Job: wire.Job{ID: "req-000005", Tasks: 1}, TasksPerChunk: 10})
	key := headerKey("req-000005")
	c.applyWatch(wire.WatchAnswer{Revision: 9, Events: []wire.Event{{Put: key, Value: h, Version: 5}, {Delete: key, Version: 8}}})
	c.applyOwnChange(wire.Event{Put: key, Value: h, Version: 5})
	if c.watchCache.headers["req-000005"] != nil {
		t.Fatal("a deleted header was restored by a late reply")
	}
}

// An attempt that a machine ran and no longer lists, in the same session, makes the leader raise
// the fencing token.
func TestVanishedAttemptRaisesTheFencingToken(t *testing.T) {
	c, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := placeAttempt(l, j, 0, m)
	l.runCommand(a)
	l.failureDetector.applyHeartbeat(m, newReport(m, 7, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning}))
	c.now = c.now.Add(tokenRaiseInterval)
	l.failureDetector.applyHeartbeat(m, newReport(m, 7))
	if j.attempts[0] == nil || !l.raisingToken {
		t.Fatalf("active %v, raising %v", j.attempts[0] != nil, l.raisingToken)
	}
}

// A heartbeat sent before the election may be a delayed copy from a machine that no longer exists.
// The machine must answer a probe, or send a heartbeat with the new token, before it counts as up.
func TestDelayedHeartbeatDoesNotMarkMachineUp(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	copied := wire.Report{Machine: "i-1", Addr: "10.0.0.1:9000", Session: 1, Seq: 5, Token: 6}
	c.out = nil
	c.answerHeartbeat(ReportRequest{Req: 1, Report: copied})
	if l.machine("i-1").up {
		t.Fatal("machine is up after a heartbeat that may be a delayed copy")
	}
	probed := false
	for _, o := range c.out {
		_, call := o.(WorkerCall)
		probed = probed || call
	}
	if !probed {
		t.Fatal("the machine is not probed")
	}
	copied.Token, copied.Seq = 7, 6
	if c.answerHeartbeat(ReportRequest{Req: 2, Report: copied}); !l.machine("i-1").up {
		t.Fatal("machine is not up though its heartbeat carries this leader's token")
	}
}

// An answer with an older session and sequence number than the machine had sent before the command
// shows that its counters were reset. None of its statuses can be relied on then: the machine is
// released, and its attempts stay active until the release is confirmed.
func TestMachineWithResetSequenceIsReleased(t *testing.T) {
	c, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 3, Seq: 70, Token: 7})
	l.runCommand(placeAttempt(l, j, 0, m))
	l.sendCommand(m, nil)
	id := c.out[len(c.out)-1].(WorkerCall).ID
	resume(c.workerCalls, id, WorkerReply{Status: 200, Report: wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 8}})
	if !m.releasing || m.session != 3 || j.attempts[0] == nil || l.usable(m) {
		t.Fatalf("releasing %v, session %d, active %v", m.releasing, m.session, j.attempts[0] != nil)
	}
	if l.autoscaler.forgetMachine(m.id); j.attempts[0] != nil {
		t.Fatal("attempt still active after the release")
	}
}

// An attempt of an earlier leader is kept if it runs, but its run command is not sent again: the
// records may contain more attempts than the team's limit allows.
func TestRestoredAttemptsAreNotSentAgain(t *testing.T) {
	_, l, j := newLeadingCore(t)
	l.restore(j, 0, &taskRecord{Next: 1, Placed: []placedRecord{{Task: 0, Attempt: 1, Machine: "i-1", Session: 1, Zone: "a"}}}, 5)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 6})
	if cs := l.heartbeatCommands(m); len(cs) != 0 || j.attempts[0] == nil {
		t.Fatalf("commands %v, active %v", cs, j.attempts[0] != nil)
	}
	l.failureDetector.applyHeartbeat(m, newReport(m, 7))
	if j.attempts[0] != nil {
		t.Fatal("attempt active though the machine has received this leader's token and does not list it")
	}
}

// A heartbeat that changes nothing produces one output and invalidates at most one machine's
// scheduling snapshot, regardless of the number of machines.
func TestUnchangedHeartbeatRebuildsOneSnapshot(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	for i := range 300 {
		m := l.machine(fmt.Sprintf("i-%03d", i))
		l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	c.Step(c.now.Add(time.Second), Tick{})
	l.schedulerView(false)
	m := l.machine("i-100")
	out := c.Step(c.now, ReportRequest{Req: 1, Report: wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 2, Token: 7}})
	if len(out) != 1 {
		t.Errorf("%d outputs, want 1: %+v", len(out), out)
	}
	rebuilt := 0
	for _, o := range l.machinesByName {
		if o.snapshot == nil {
			rebuilt++
		}
	}
	if rebuilt > 1 {
		t.Errorf("%d snapshots to be rebuilt, want at most 1", rebuilt)
	}
}
