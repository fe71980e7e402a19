package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/wire"
)

// The answer to a direct command may be the first to show a new agent epoch. What is
// placed in it must not be taken for lost when the old epoch's lease expires.
func TestNewAgentEpochHasALeaseOfItsOwn(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1})
	c.now = c.now.Add(10 * time.Second)
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 2, Seq: 2})
	place(l, j, 0, m)
	c.now = c.now.Add(time.Second)
	l.failures.checkLeaseExpiry()
	if j.attempts[0] == nil {
		t.Fatal("an attempt of the new session is taken for gone")
	}
	c.now = c.now.Add(11 * time.Second)
	l.failures.checkLeaseExpiry()
	if j.attempts[0] != nil {
		t.Fatal("a lease that has run out proves nothing")
	}
}

// A heartbeat that does not list an attempt proves it gone only when no copy of its
// run can still arrive.
func TestAbsenceNeedsAHigherFencingToken(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	l.failures.applyHeartbeat(m, report(m, 7))
	if j.attempts[0] == nil {
		t.Fatal("gone while its run may still arrive")
	}
	l.token = 8
	l.failures.applyHeartbeat(m, report(m, 8))
	if j.attempts[0] != nil {
		t.Fatal("not gone though no copy can run")
	}
	// An earlier leader's run may have carried any token below our first.
	b := place(l, j, 1, m)
	b.phase, b.token = attemptSent, l.token-1
	l.failures.applyHeartbeat(m, report(m, 7))
	if j.attempts[1] == nil {
		t.Fatal("gone on the word of a worker that has not seen our token")
	}
}

// The watch may tell of a key's removal before the reply to its creation comes:
// the late reply must not bring it back.
func TestLateReplyRevivesNothing(t *testing.T) {
	c, _, _ := leading(t)
	h := wire.Marshal(headerRecord{Job: wire.Job{ID: "req-000005", Tasks: 1}, PerChunk: 10})
	key := headerKey("req-000005")
	c.applyWatch(wire.Watch{Revision: 9, Events: []wire.Event{{Put: key, Value: h, Version: 5}, {Delete: key, Version: 8}}})
	c.written(wire.Event{Put: key, Value: h, Version: 5})
	if c.control.headers["req-000005"] != nil {
		t.Fatal("a removed header is back")
	}
}

// What a machine ran and no longer lists, in the same stint, is settled by a
// raised fencing token.
func TestVanishedAttemptRaisesTheFencingToken(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	l.failures.applyHeartbeat(m, report(m, 7, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning}))
	c.now = c.now.Add(raisePause)
	l.failures.applyHeartbeat(m, report(m, 7))
	if j.attempts[0] == nil || !l.raisingToken {
		t.Fatalf("in force %v, raising %v", j.attempts[0] != nil, l.raisingToken)
	}
}

// A heartbeat made before the election may be a late copy, of a machine that is gone:
// the machine itself has to be heard before it counts as up.
func TestLateCopyRevivesNoMachine(t *testing.T) {
	c, l, _ := leading(t)
	copied := wire.Report{Machine: "i-1", Addr: "10.0.0.1:9000", Session: 1, Seq: 5, Token: 6}
	c.out = nil
	c.answerHeartbeat(ReportRequest{Req: 1, Report: copied})
	if l.machine("i-1").up {
		t.Fatal("up by a report that may be a copy")
	}
	asked := false
	for _, o := range c.out {
		_, call := o.(WorkerCall)
		asked = asked || call
	}
	if !asked {
		t.Fatal("the machine is not asked")
	}
	copied.Token, copied.Seq = 7, 6
	if c.answerHeartbeat(ReportRequest{Req: 2, Report: copied}); !l.machine("i-1").up {
		t.Fatal("not up though it has seen our token")
	}
}

// An answer of a machine that is older than what it had said before it was asked
// shows that it counts anew. Nothing it says is relied on then: it is released, and
// what it ran stays in force until that is answered.
func TestMachineThatCountsAnewIsReleased(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 3, Seq: 70, Token: 7})
	l.runCommand(place(l, j, 0, m))
	l.command(m, nil)
	id := c.out[len(c.out)-1].(WorkerCall).ID
	resume(c.workerCalls, id, WorkerReply{Status: 200, Report: wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 8}})
	if !m.releasing || m.session != 3 || j.attempts[0] == nil || l.usable(m) {
		t.Fatalf("releasing %v, session %d, in force %v", m.releasing, m.session, j.attempts[0] != nil)
	}
	if l.autoscaler.forgetMachine(m.id); j.attempts[0] != nil {
		t.Fatal("in force after the release")
	}
}

// An earlier leader's attempt is kept where it runs, and its run is not sent again: the
// records may hold more than a team's limit allows.
func TestOldRunsAreNotSentAgain(t *testing.T) {
	_, l, j := leading(t)
	l.restore(j, 0, &taskRecord{Next: 1, Placed: []placedRecord{{Task: 0, Attempt: 1, Machine: "i-1", Session: 1, Zone: "a"}}}, 5)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 6})
	if cs := l.commands(m); len(cs) != 0 || j.attempts[0] == nil {
		t.Fatalf("commands %v, in force %v", cs, j.attempts[0] != nil)
	}
	l.failures.applyHeartbeat(m, report(m, 7))
	if j.attempts[0] != nil {
		t.Fatal("in force though the machine, which has seen our token, does not list it")
	}
}

// A heartbeat in which nothing has changed costs its answer and one machine's picture,
// however many machines there are.
func TestIdleHeartbeatCostsLittle(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	for i := range 300 {
		m := l.machine(fmt.Sprintf("i-%03d", i))
		l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	c.Step(c.now.Add(time.Second), Tick{})
	l.view(false)
	m := l.machine("i-100")
	out := c.Step(c.now, ReportRequest{Req: 1, Report: wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 2, Token: 7}})
	if len(out) != 1 {
		t.Errorf("%d outputs: %+v", len(out), out)
	}
	anew := 0
	for _, o := range l.fleetOrder {
		if o.snapshot == nil {
			anew++
		}
	}
	if anew > 1 {
		t.Errorf("%d pictures to be drawn anew", anew)
	}
}
