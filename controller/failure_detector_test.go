package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// A new leader must not give machines up that have not had time to find it.
func TestNewLeaderWaitsForMachines(t *testing.T) {
	c, l, _ := leading(t)
	m := l.machine("i-1")
	m.typ, m.since = "small", c.now.Add(-time.Hour)
	c.now = c.now.Add(3 * time.Second)
	if l.failures.bootedTooLong(m) {
		t.Fatal("a machine is given up 3 s after the election")
	}
}

// A machine whose reports arrive but which answers no command gets no new work,
// and a report does not change that.
func TestMachineThatHearsNothing(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	for i := range 8 {
		o := l.machine(fmt.Sprintf("i-2%d", i))
		l.failures.applyHeartbeat(o, &wire.Report{Machine: o.id, Session: 1, Seq: 1, Token: 7})
	}
	l.runCommand(place(l, j, 0, m))
	call := func(status int) {
		l.command(m, nil)
		id := c.out[len(c.out)-1].(WorkerCall).ID
		c.now = c.now.Add(time.Second)
		resume(c.workerCalls, id, WorkerReply{Status: status, Report: *report(m, 7)})
	}
	call(0)
	l.failures.applyHeartbeat(m, report(m, 7))
	l.partitions.observe(l.c.now, l.failures.countSilent())
	if l.usable(m) {
		t.Fatal("new work for a machine that hears nothing")
	}
	if call(200); !l.usable(m) {
		t.Fatal("not used again once it answers")
	}
}

// A leader that stood still while its clocks ran on, in an outage that kept its lease,
// finds all machines silent and its commands unanswered. That says nothing of them:
// machines are not released, and not refused work, for what was not listened to.
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	c, l, _ := leading(t)
	c.op.IdleS = 3600 // none is returned as idle
	for i := range 20 {
		id := fmt.Sprintf("i-%02d", i)
		l.failures.applyHeartbeat(l.machine(id), &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
	step := func(d time.Duration) {
		c.now = c.now.Add(d)
		l.authority = c.now.Add(time.Second)
		l.autoscaler.lookedAt = time.Time{}
		l.run()
	}
	releasing := func() int {
		n := 0
		for _, m := range l.machines {
			if m.releasing {
				n++
			}
		}
		return n
	}
	step(0)
	sent := c.now
	step(2 * time.Minute)
	l.noAnswer(l.machines["i-00"], sent) // its answer was there, but too late to be read
	step(time.Millisecond)
	if n := releasing(); n > 0 {
		t.Fatalf("%d machines released after standing still", n)
	}
	if !l.usable(l.machines["i-01"]) && !l.machines["i-01"].leaseOut {
		t.Fatal("a machine that was not listened to is taken for silent")
	}
	for range 200 {
		step(250 * time.Millisecond)
	}
	if n := releasing(); n == 0 {
		t.Fatal("machines that stay silent are never released")
	}
}

// Machines that died shortly before the leader did are known from its placements alone.
// One that doesn't answer a new leader is given up as soon as any other that has fallen
// silent; one that could not be asked may still be looking for the leader.
func TestSilentSinceTheElection(t *testing.T) {
	c, l, j := leading(t)
	c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
	others := l.addJob("req-000002", &headerRecord{Job: wire.Job{ID: "req-000002", Kind: wire.KindArray, Tasks: 20, CPUs: 1}, PerChunk: 20})
	for i := range 20 {
		m := l.machine(fmt.Sprintf("i-%02d", i))
		l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
		place(l, others, i, m)
	}
	asked, unknown := l.machine("j-0"), l.machine("j-1")
	place(l, j, 0, asked)
	place(l, j, 1, unknown)
	c.hints["j-0"] = &mesh.Hint{Machine: "j-0", Addr: "j-0"}
	seq := uint64(1)
	step := func() {
		c.now = c.now.Add(250 * time.Millisecond)
		l.authority = c.now.Add(time.Second)
		l.autoscaler.lookedAt = time.Time{}
		seq++
		for id, m := range l.machines {
			if m.up {
				l.failures.applyHeartbeat(m, &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: seq, Token: 7})
			}
		}
		l.run()
		for id := range c.workerCalls {
			resume(c.workerCalls, id, WorkerReply{ID: id}) // no answer
		}
	}
	for l.failures.listenedSince(l.elected) <= l.failures.suspectAfter() {
		step()
	}
	if asked.releasing || unknown.releasing {
		t.Fatal("given up too soon")
	}
	for range 6 {
		step()
	}
	if !asked.releasing || unknown.releasing {
		t.Errorf("the one that does not answer: released %v; the one that was not asked: %v", asked.releasing, unknown.releasing)
	}
}

// A machine that has fallen silent is given up early where its replicas have room: that of
// batch work, which would give way to them, counts.
func TestSilentMachineWhoseReplicasTakeRoomOfBatchWork(t *testing.T) {
	for priority, want := range map[string]bool{"standard": true, "prod": false} {
		c, l, _ := leading(t)
		c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
		var ms []*machine
		for i, p := range []string{"prod", priority, priority, priority} {
			m := l.machine(fmt.Sprintf("i-%d", i))
			l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
			id := fmt.Sprintf("req-1%d", i)
			j := l.addJob(id, &headerRecord{PerChunk: 1, Job: wire.Job{ID: id, Kind: wire.KindService, Priority: p, Tasks: 1, CPUs: 4}})
			a := place(l, j, 0, m)
			a.phase = attemptRunning
			ms = append(ms, m)
		}
		l.failures.listening = listeningPeriod{began: c.now, lastLook: c.now}
		c.now = c.now.Add(l.failures.suspectAfter() + time.Second)
		l.authority, l.failures.listening.lastLook = c.now.Add(time.Second), c.now
		for _, m := range ms[1:] {
			l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 2, Token: 7,
				Tasks: []wire.Task{{ID: m.list[0].taskID(), Attempt: 1, State: wire.TaskRunning}}})
		}
		ms[0].unanswered = true
		l.failures.releaseFailed()
		if ms[0].releasing != want {
			t.Errorf("beside %s work: released %v, want %v", priority, ms[0].releasing, want)
		}
	}
}
