package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// leading returns a core that leads, with one job of two tasks.
func leading(t *testing.T) (*Core, *leader, *job) {
	t.Helper()
	var cfg config.Platform
	cfg.Member = "n0"
	cfg.Others = []config.Peer{{Member: "n1"}, {Member: "n2"}}
	f := &cfg.Facts
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 2, 10, 24
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 150, 60, 8, 16
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 5
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := New(&cfg, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), now)
	c.noteRead(now) // as who claims has read the headers
	c.becomeLeader(now, 1, 7, 1)
	l := c.lead
	l.rebuild(nil, nil)
	spec := wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 1}
	return c, l, l.addJob(spec.ID, &headerRecord{Job: spec, PerChunk: 10})
}

// place puts an attempt in force as a round does, and has its record written.
func place(l *leader, j *job, task int, m *machine) *attempt {
	j.chunks[0].next++
	a := &attempt{job: j, task: task, number: j.chunks[0].next, machine: m, session: m.session, recorded: true}
	j.attempts[task] = a
	m.add(a)
	j.state.Start(task)
	return a
}

func report(m *machine, token uint64, tasks ...wire.Task) *wire.Report {
	return &wire.Report{Machine: m.id, Session: m.session, Seq: m.seq + 1, Token: token, Tasks: tasks}
}

// The answer to a direct command may be the first to show a new session. What is
// placed in it must not be taken for lost when the old session's time is up.
func TestNewSessionHasALeaseOfItsOwn(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1})
	c.now = c.now.Add(10 * time.Second)
	l.apply(m, &wire.Report{Machine: m.id, Session: 2, Seq: 2})
	place(l, j, 0, m)
	c.now = c.now.Add(time.Second)
	l.proveGone()
	if j.attempts[0] == nil {
		t.Fatal("an attempt of the new session is taken for gone")
	}
	c.now = c.now.Add(11 * time.Second)
	l.proveGone()
	if j.attempts[0] != nil {
		t.Fatal("a lease that has run out proves nothing")
	}
}

// A report that does not list an attempt proves it gone only when no copy of its
// run can still arrive.
func TestAbsenceNeedsAHigherToken(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	l.apply(m, report(m, 7))
	if j.attempts[0] == nil {
		t.Fatal("gone while its run may still arrive")
	}
	l.token = 8
	l.apply(m, report(m, 8))
	if j.attempts[0] != nil {
		t.Fatal("not gone though no copy can run")
	}
	// An earlier leader's run may have carried any token below our first.
	b := place(l, j, 1, m)
	b.sent, b.token = true, l.token-1
	l.apply(m, report(m, 7))
	if j.attempts[1] == nil {
		t.Fatal("gone on the word of a worker that has not seen our token")
	}
}

// An ended attempt is forgotten only when its outcome is recorded and a higher
// token fences its run.
func TestForgetWaits(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	ended := wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, Why: wire.WhyDone}
	forgets := func() bool {
		for _, cmd := range l.commands(m) {
			if cmd.Op == wire.OpForget {
				return true
			}
		}
		return false
	}
	l.apply(m, report(m, 7, ended))
	if j.state.Status(0) != reduction.Completed {
		t.Fatal("a reported finish does not count")
	}
	j.dirty = false // its record is written
	if forgets() {
		t.Fatal("forgotten while a copy of its run may arrive")
	}
	l.token = 8
	l.apply(m, report(m, 8, ended))
	j.dirty = true
	if forgets() {
		t.Fatal("forgotten before its finish is recorded")
	}
	j.dirty = false
	if !forgets() {
		t.Fatal("never forgotten")
	}
}

// A write that the budget refuses must stay due: its tasks would hang otherwise.
func TestRefusedWriteStaysDirty(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	place(l, j, 0, m).recorded = false
	j.touch(0, c.now)
	j.urgent = true // as a placement's write is
	l.writes = rate.NewLimiter(1, 1)
	l.writes.AllowN(c.now, 1)
	l.flush()
	if j.write != nil || !j.dirty || !j.chunks[0].dirty {
		t.Fatal("a refused write is lost")
	}
	c.now = c.now.Add(time.Second)
	l.extend(c.now)
	l.flush()
	if j.write == nil {
		t.Fatal("not written once the budget allows")
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

// A new leader must not give machines up that have not had time to find it.
func TestNewLeaderIsPatientWithMachines(t *testing.T) {
	c, l, _ := leading(t)
	m := l.machine("i-1")
	m.typ, m.since = "small", c.now.Add(-time.Hour)
	c.now = c.now.Add(3 * time.Second)
	if l.bootedTooLong(m) {
		t.Fatal("a machine is given up 3 s after the election")
	}
}

// Authority ends before the lease can: it counts from before the renewal was
// sent. Without it a report is sent on, not answered.
func TestAuthorityLapses(t *testing.T) {
	c, l, _ := leading(t)
	life := c.op.LeaderLifetime()
	if c.now = l.elected.Add(life - 200*time.Millisecond); !c.entitled() {
		t.Fatal("no authority within the lease")
	}
	c.now = l.elected.Add(life)
	c.out = nil
	c.report(ReportRequest{Req: 1, Report: wire.Report{Machine: "i-1"}})
	if a, ok := c.out[0].(Answer); !ok || a.Status != 421 {
		t.Fatalf("answered %+v without authority", c.out)
	}
}

// A promise binds for its life, and a process that may have promised before it
// started waits that long before it claims.
func TestPromisesBind(t *testing.T) {
	c, _, _ := leading(t)
	c.lead = nil
	c.control.token = 7
	if !c.promiseBinds() {
		t.Fatal("a fresh process claims at once")
	}
	c.now = c.now.Add(bindFor + time.Millisecond)
	if c.promiseBinds() {
		t.Fatal("bound for ever")
	}
	c.promises.bound = c.now.Add(time.Second)
	if !c.promiseBinds() {
		t.Fatal("a promise does not bind")
	}
}

// An attempt that has to stop after its record is written and before its run is
// sent must not stay in force for ever.
func TestStoppedBeforeItWasSent(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	place(l, j, 0, m)
	l.finish(j, 0) // an earlier attempt, taken for lost, has finished
	if j.attempts[0] != nil {
		t.Fatal("still in force")
	}
}

// What a machine ran and no longer lists, in the same stint, is settled by a
// raised token.
func TestVanishedAttemptRaisesTheToken(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	l.apply(m, report(m, 7, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning}))
	c.now = c.now.Add(raisePause)
	l.apply(m, report(m, 7))
	if j.attempts[0] == nil || !l.raisingToken {
		t.Fatalf("in force %v, raising %v", j.attempts[0] != nil, l.raisingToken)
	}
}

// A report made before the election may be a late copy, of a machine that is gone:
// the machine itself has to be heard before it counts as up.
func TestLateCopyRevivesNoMachine(t *testing.T) {
	c, l, _ := leading(t)
	copied := wire.Report{Machine: "i-1", Addr: "10.0.0.1:9000", Session: 1, Seq: 5, Token: 6}
	c.out = nil
	c.report(ReportRequest{Req: 1, Report: copied})
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
	if c.report(ReportRequest{Req: 2, Report: copied}); !l.machine("i-1").up {
		t.Fatal("not up though it has seen our token")
	}
}

// A machine whose reports arrive but which answers no command gets no new work,
// and a report does not change that.
func TestMachineThatHearsNothing(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	for i := range 8 {
		o := l.machine(fmt.Sprintf("i-2%d", i))
		l.apply(o, &wire.Report{Machine: o.id, Session: 1, Seq: 1, Token: 7})
	}
	l.runCommand(place(l, j, 0, m))
	call := func(status int) {
		l.command(m, nil)
		id := c.out[len(c.out)-1].(WorkerCall).ID
		c.now = c.now.Add(time.Second)
		resume(c.workerCalls, id, WorkerReply{Status: status, Report: *report(m, 7)})
	}
	call(0)
	l.apply(m, report(m, 7))
	l.partitioned = l.partitionedZones()
	if l.usable(m) {
		t.Fatal("new work for a machine that hears nothing")
	}
	if call(200); !l.usable(m) {
		t.Fatal("not used again once it answers")
	}
}

// An answer of a machine that is older than what it had said before it was asked
// shows that it counts anew. Nothing it says is relied on then: it is released, and
// what it ran stays in force until that is answered.
func TestMachineThatCountsAnewIsReleased(t *testing.T) {
	c, l, j := leading(t)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 3, Seq: 70, Token: 7})
	l.runCommand(place(l, j, 0, m))
	l.command(m, nil)
	id := c.out[len(c.out)-1].(WorkerCall).ID
	resume(c.workerCalls, id, WorkerReply{Status: 200, Report: wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 8}})
	if !m.releasing || m.session != 3 || j.attempts[0] == nil || l.usable(m) {
		t.Fatalf("releasing %v, session %d, in force %v", m.releasing, m.session, j.attempts[0] != nil)
	}
	if l.forgetMachine(m.id); j.attempts[0] != nil {
		t.Fatal("in force after the release")
	}
}

// The answer to a report that an earlier process handed on must not reach another
// worker.
func TestRelayAnswerToAnEarlierProcess(t *testing.T) {
	ids := map[uint64]bool{}
	for seed := range uint64(20) {
		c, _, _ := leading(t)
		c = New(c.cfg, c.op, rand.New(rand.NewPCG(seed, 1)), c.now)
		ids[c.id()] = true
	}
	if len(ids) < 20 {
		t.Fatal("processes count from the same number")
	}
}

// Where there are more questions than reads, nobody is refused for ever: reads go
// first come first served, also for those who have stopped waiting.
func TestFinalReadsAreFair(t *testing.T) {
	c, _, _ := leading(t)
	c.lead, c.control.loaded = nil, true
	c.reads = rate.NewLimiter(1, 1)
	c.reads.AllowN(c.now, 1)
	told := []known{}
	c.lookupFinal("req-000001", func(k known) { told = append(told, k) })
	c.now = c.now.Add(finalReadTimeout + time.Millisecond)
	c.runTimers()
	if len(told) != 1 || told[0] != knownUnsure {
		t.Fatalf("told %v", told)
	}
	read := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, read.ID, StateReply{Status: 200, Item: wire.Item{Value: wire.Marshal(finalRecord{Tasks: 1})}})
	c.lookup("req-000001", func(k known) { told = append(told, k) })
	if told[len(told)-1] != knownFinal {
		t.Fatal("the read made for a user who had left serves nobody")
	}
}

// While the state service is not reached, requests are refused without waiting,
// and the first success ends that.
func TestUnreachedStateRefusesAtOnce(t *testing.T) {
	c, _, _ := leading(t)
	c.lead, c.control.loaded = nil, true
	c.sync(func(bool) {})
	first := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, first.ID, StateReply{})
	refused := false
	c.sync(func(ok bool) { refused = !ok })
	if !refused {
		t.Fatal("waits for a service that is not reached")
	}
	c.now = c.now.Add(retryPause)
	c.runTimers()
	again := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, again.ID, StateReply{Status: 200})
	if c.control.unreachable {
		t.Fatal("refuses for ever")
	}
}

// A late service waits for a machine that boots with as many tasks as fit there, and
// stops lower work for the others: one round must not count a task twice.
func TestLateServiceDividesItsTasks(t *testing.T) {
	c, l, batch := leading(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 1}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.1, BootS: 20, Zones: []string{"a"}}})
	up, boots := l.machine("i-1"), l.machine("i-2")
	l.apply(up, &wire.Report{Machine: up.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	boots.typ, boots.zone = "t", "a"
	for task := range 2 {
		a := place(l, batch, task, up)
		a.sent, a.seen = true, true
	}
	up.images["img"] = true
	spec := wire.Job{ID: "req-000002", Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod",
		Tasks: 3, CPUs: 1, Image: "img", ImageGB: 1}
	h := &headerRecord{Job: spec, PerChunk: 10, AcceptedMS: c.now.Add(-10 * time.Second).UnixMilli()}
	l.addJob(spec.ID, h)
	l.wantPlacement()
	c.now = l.placeAt
	l.place()
	stopping := 0
	for _, a := range up.list {
		if a.stopping {
			stopping++
		}
	}
	if stopping != 1 {
		t.Fatalf("%d tasks stop for the one that has no room on the booting machine", stopping)
	}
}

// A report in which nothing has changed costs its answer and one machine's picture,
// however many machines there are.
func TestIdleReportCostsLittle(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	for i := range 300 {
		m := l.machine(fmt.Sprintf("i-%03d", i))
		l.apply(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
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

// A leader that stood still while its clocks ran on, in an outage that kept its lease,
// finds all machines silent and its commands unanswered. That says nothing of them:
// machines are not released, and not refused work, for what was not listened to.
func TestStandingStillIsNoSilence(t *testing.T) {
	c, l, _ := leading(t)
	c.op.IdleS = 3600 // none is returned as idle
	for i := range 20 {
		id := fmt.Sprintf("i-%02d", i)
		l.apply(l.machine(id), &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
	step := func(d time.Duration) {
		c.now = c.now.Add(d)
		l.authority = c.now.Add(time.Second)
		l.fleet.lookedAt = time.Time{}
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

// The cloud allows few calls a second. A new leader asks again only for the rentals
// that have no answer on record, and nothing is asked for whose like was just refused.
func TestRentalsAreAskedForOnce(t *testing.T) {
	c, l, _ := leading(t)
	rent := func(name string) wire.Rent { return wire.Rent{Request: name, Type: "t", Zone: "a", Count: 2} }
	item := func(r rentalRecord) wire.Item {
		return wire.Item{Key: rentalPrefix + r.Rent.Request, Value: wire.Marshal(r), Version: 5}
	}
	l.fleet.restore(l, []wire.Item{
		item(rentalRecord{Rent: rent("r-1-1"), Answered: true, Machines: []string{"i-1", "i-2"}}),
		item(rentalRecord{Rent: rent("r-1-2")}),
	})
	if m := l.machines["i-2"]; m == nil || m.typ != "t" {
		t.Error("a rented machine on record is not expected")
	}
	asked := func() (names []string) {
		for _, o := range c.out {
			if call, ok := o.(CloudCall); ok && call.Op == CloudRent {
				names = append(names, call.Rent.Request)
			}
		}
		return names
	}
	c.out = nil
	l.sendRentals()
	if got := asked(); len(got) != 1 || got[0] != "r-1-2" {
		t.Fatalf("asked for %v, want r-1-2 alone", got)
	}
	for _, name := range []string{"r-2-1", "r-2-2"} {
		l.fleet.rentals[name] = &rental{rent: rent(name), version: 6, since: c.now}
	}
	c.now = c.now.Add(time.Second)
	l.rentalAnswered(l.fleet.rentals["r-1-2"], CloudReply{Status: http.StatusServiceUnavailable})
	c.out = nil
	l.sendRentals()
	if got := asked(); len(got) > 0 || l.fleet.rentals["r-2-1"] != nil || l.fleet.rentals["r-1-1"] == nil {
		t.Errorf("asked for %v after a refusal of the same kind, left %v", got, l.fleet.rentals)
	}
}

// A transaction may hold more changes than the budget's burst. Records that are due to
// be removed must go nonetheless, or every new leader reads them, and takes rentals
// of long ago for machines that boot.
func TestSweepFitsTheBudget(t *testing.T) {
	c, l, _ := leading(t)
	c.cfg.Facts.State.TxnOps = 32
	for i := range 100 {
		l.obsoleteKeys = append(l.obsoleteKeys, fmt.Sprintf("h/r-1-%d", i))
	}
	for range 10 {
		c.now = c.now.Add(time.Second)
		l.deleteObsolete()
	}
	if n := len(l.obsoleteKeys); n > 0 {
		t.Errorf("%d of 100 records are left after ten seconds", n)
	}
}

// Replicas that are left over on many dear machines move together, one machine at a
// time, when they have settled and have room where their image is; never otherwise.
func TestGatherEmptiesOneMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		ran     time.Duration
		cached  bool
		batch   bool
		cheaper float64 // what another type costs
		within  float64 // the aim on starting, where a machine boots in 10 s
		emptied int
	}{
		{"room elsewhere", 2 * time.Minute, true, false, 0.5, 2, 1},
		{"just started", time.Second, true, false, 0.5, 2, 0},
		{"image elsewhere missing", 2 * time.Minute, false, false, 0.5, 2, 0},
		{"batch work beside it", 2 * time.Minute, true, true, 0.5, 2, 0},
		{"no type is cheaper", 2 * time.Minute, true, false, 1.5, 2, 0},
		{"none is, and one boots in time", 2 * time.Minute, true, false, 1.5, 20, 1},
	} {
		core, l, _ := leading(t)
		core.types["t"] = wire.MachineType{Name: "t", CPUs: 8, Price: 1, BootS: 10}
		core.types["s"] = wire.MachineType{Name: "s", CPUs: 2, Price: c.cheaper, BootS: 10}
		core.cfg.Facts.Objectives = []config.Objective{{Kind: "guarantee", WithinS: c.within}}
		core.cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 100, CPUsMax: 100}}
		l.order, l.jobs = nil, map[string]*job{}
		run := func(id, kind string, m *machine) *attempt {
			j := l.addJob(id, &headerRecord{PerChunk: 10, Job: wire.Job{ID: id, Kind: kind, Team: "red", Priority: "prod", Tasks: 1, CPUs: 2, Image: "img"}})
			a := place(l, j, 0, m)
			a.sent, a.seen, a.running, a.since, j.begun = true, true, true, core.now.Add(-c.ran), true
			return a
		}
		for i, n := range []int{3, 1} {
			id := fmt.Sprintf("i-%d", i)
			m := l.machine(id)
			l.apply(m, &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
			m.images["img"] = c.cached
			for k := range n {
				run(fmt.Sprintf("req-%d%d", i, k), wire.KindService, m)
			}
		}
		if c.batch {
			run("req-99", wire.KindArray, l.machines["i-1"])
		}
		l.consolidate()
		stopping := 0
		for _, m := range l.machines {
			for _, a := range m.list {
				if a.stopping {
					stopping++
				}
			}
		}
		if got := l.machines["i-1"].consolidating; got != (c.emptied > 0) || stopping != c.emptied || l.machines["i-0"].consolidating {
			t.Errorf("%s: emptying %v, %d tasks stopped, want %d", c.name, got, stopping, c.emptied)
		}
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
		l.apply(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
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
		l.fleet.lookedAt = time.Time{}
		seq++
		for id, m := range l.machines {
			if m.up {
				l.apply(m, &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: seq, Token: 7})
			}
		}
		l.run()
		for id := range c.workerCalls {
			resume(c.workerCalls, id, WorkerReply{ID: id}) // no answer
		}
	}
	for l.since(l.elected) <= l.suspectAfter() {
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
			l.apply(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
			id := fmt.Sprintf("req-1%d", i)
			j := l.addJob(id, &headerRecord{PerChunk: 1, Job: wire.Job{ID: id, Kind: wire.KindService, Priority: p, Tasks: 1, CPUs: 4}})
			a := place(l, j, 0, m)
			a.sent, a.seen, a.running = true, true, true
			ms = append(ms, m)
		}
		l.listening, l.listened = c.now, c.now
		c.now = c.now.Add(l.suspectAfter() + time.Second)
		l.authority, l.listened = c.now.Add(time.Second), c.now
		for _, m := range ms[1:] {
			l.apply(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 2, Token: 7,
				Tasks: []wire.Task{{ID: m.list[0].taskID(), Attempt: 1, State: wire.TaskRunning}}})
		}
		ms[0].unanswered = true
		l.releaseFailed()
		if ms[0].releasing != want {
			t.Errorf("beside %s work: released %v, want %v", priority, ms[0].releasing, want)
		}
	}
}

// A job that is turned away at any controller is rented for before it is accepted:
// while few can be accepted, machines would otherwise boot only after the last of
// them. Once it has come in, or doesn't come again, it counts no more.
func TestJobsAtTheDoorAreRentedFor(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	job := wire.Job{ID: "req-000007", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 2}
	atDoor := func() int {
		n := 0
		for _, d := range l.backlog() {
			if d.Job == job.ID {
				n += min(len(d.Tasks), d.RoomInTeam)
			}
		}
		return n
	}
	c.meshMessage(&mesh.Envelope{From: "n1", Body: &mesh.Envelope_Knocks{Knocks: &mesh.Knocks{Jobs: [][]byte{wire.Marshal(job)}}}})
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a job of 3 at another controller's door", n)
	}
	l.addJob(job.ID, &headerRecord{Job: job, PerChunk: 10})
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a job of 3 that was at the door", n)
	}
	delete(l.jobs, job.ID)
	l.order = nil
	c.rejectSubmission(UserRequest{Req: 1}, &job)
	c.sendDemandHints()
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a job of 3 at the leader's own door", n)
	}
	c.now = c.now.Add(2 * demandHintLifetime)
	if n := atDoor(); n != 0 {
		t.Errorf("%d tasks wanted for a job that does not come again", n)
	}
}

// Lower work takes no room that a service at the door will want: it would be stopped
// for it as soon as that is accepted.
func TestLowerWorkLeavesRoomForServicesAtTheDoor(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	array := wire.Job{ID: "req-000002", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 4, CPUs: 1}
	service := wire.Job{ID: "req-000003", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 1}
	l.jobs, l.order = map[string]*job{}, nil
	j := l.addJob(array.ID, &headerRecord{Job: array, PerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	c.rejectSubmission(UserRequest{Req: 1}, &service)
	c.sendDemandHints()
	l.wantPlacement()
	c.now = l.placeAt
	l.place()
	if n := len(j.attempts); n != 1 {
		t.Errorf("%d tasks placed on 4 cores, of which a service at the door wants 3", n)
	}
}

// What runs on a machine that the cloud will take away, and can't end in time, begins
// again elsewhere at once instead of after the machine's silence; then nothing keeps
// the machine.
func TestNoticeMovesWhatCannotEndInTime(t *testing.T) {
	c, l, j := leading(t)
	j.spec.EstimateS = 50
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	young, old := place(l, j, 0, m), place(l, j, 1, m)
	for _, a := range []*attempt{young, old} {
		a.sent, a.seen, a.running, a.since = true, true, true, c.now
	}
	old.since = c.now.Add(-45 * time.Second)
	left := 20.0
	tasks := func(as ...*attempt) (ts []wire.Task) {
		for _, a := range as {
			ts = append(ts, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning})
		}
		return ts
	}
	rep := report(m, 7, tasks(young, old)...)
	rep.NoticeS = &left
	l.apply(m, rep)
	if !young.stopping || old.stopping {
		t.Errorf("with %v s left: stopped the one of 50 s %v, the one of 5 s %v", left, young.stopping, old.stopping)
	}
	l.releaseFailed()
	if m.releasing {
		t.Error("released while a task may end in time")
	}
	rep = report(m, 7)
	rep.NoticeS = &left
	for _, a := range []*attempt{young, old} {
		rep.Tasks = append(rep.Tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, Why: wire.WhyStopped})
	}
	l.apply(m, rep)
	if l.releaseFailed(); !m.releasing {
		t.Error("kept though nothing runs on it any more")
	}
}

// A machine that was listed and is not any more has been taken, once no list can be
// from before it was listed; its release is the proof. Its silence would be noticed
// only after a report's time.
func TestUnlistedMachineIsReleased(t *testing.T) {
	c, l, _ := leading(t)
	lag := config.Seconds(c.cfg.Facts.Cloud.ListLagS)
	page := func(more bool, ids ...string) wire.MachinePage {
		p := wire.MachinePage{More: more}
		for _, id := range ids {
			p.Machines = append(p.Machines, wire.Machine{ID: id, State: wire.MachineRunning})
		}
		return p
	}
	for _, it := range page(false, "i-1", "i-2", "i-3", "i-4").Machines {
		l.listed(it)
	}
	l.machine("i-5") // never listed: may be too young
	c.now = c.now.Add(lag)
	l.unlisted("", page(false, "i-1"), c.now)
	if l.machines["i-2"].releasing {
		t.Error("released by a list that may be from before it was listed")
	}
	c.now = c.now.Add(2 * lag)
	l.unlisted("i-1", page(true, "i-3"), c.now)
	for id, want := range map[string]bool{"i-1": false, "i-2": true, "i-3": false, "i-4": false, "i-5": false} {
		if l.machines[id].releasing != want {
			t.Errorf("%s: released %v by a page from i-1 to i-3 without i-2", id, l.machines[id].releasing)
		}
	}
}

// Where an aim on starting leaves time, a service waits a little for running tasks to
// end before any is stopped for it; one that its users miss does not.
func TestServiceWaitsBeforeItStopsOthers(t *testing.T) {
	c, l, _ := leading(t)
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 60}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.5, Zones: []string{"a"}}})
	spec := wire.Job{ID: "req-000002", Class: "web", Kind: wire.KindService, Priority: "prod", Tasks: 1, CPUs: 1, ImageGB: 10}
	l.addJob(spec.ID, &headerRecord{Job: spec, PerChunk: 10})
	d := l.c.demandOf(&spec)
	if w := l.canWait(d); w != 10 {
		t.Errorf("waits %v s with an aim of 60 s and a fetch of 20 s", w)
	}
	if d.Begun = true; l.canWait(d) > 0 {
		t.Error("a replica that ran before waits")
	}
}

// Batch work waits for running tasks that end before a machine boots, but not for
// room that what comes meanwhile will need: as long as as much came as ended, nothing
// was rented and the last tasks of arrays waited for a minute.
func TestWhatEndsSoonIsNotCountedTwice(t *testing.T) {
	c, l, running := leading(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, BootS: 30, Zones: []string{"a"}}})
	running.spec.EstimateS, running.attempts[0] = 10, &attempt{job: running, machine: l.machine("i-1"), running: true, since: c.now}
	running.state.Start(0)
	running.state.Start(1)
	spec := wire.Job{ID: "req-000002", Class: "train", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1}
	l.addJob(spec.ID, &headerRecord{Job: spec, PerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	for arrivals, want := range map[int]int{0: 0, 6: 1} {
		l.arrivals = nil
		for range arrivals {
			l.arrivals = append(l.arrivals, arrival{"train", 1, c.now})
		}
		l.trackPeaks()
		n := 0
		for _, d := range l.backlog() {
			n += len(d.Tasks)
		}
		if n != want {
			t.Errorf("%d tasks to rent for while one ends and %d came in 90 s, want %d", n, arrivals, want)
		}
	}
}

// A new leader knows machines from the records of rentals. One that was returned since
// must not pass for booting until its time to boot is over: nothing would be rented
// meanwhile. Nor may counts, which never end, keep those records from being removed.
func TestOldRentalsDoNotPassForBooting(t *testing.T) {
	c, l, _ := leading(t)
	l.fleet.restore(l, []wire.Item{{Key: "h/r-1-1", Version: 3, Value: wire.Marshal(rentalRecord{
		Rent: wire.Rent{Request: "r-1-1", Type: "t", Zone: "a", Count: 1}, Answered: true, Machines: []string{"i-9"}})}})
	c.now = c.now.Add(config.Seconds(2*c.cfg.Facts.Cloud.ListLagS) + 2*time.Second)
	l.unlisted("", wire.MachinePage{}, c.now)
	if m := l.machines["i-9"]; !m.releasing {
		t.Error("a machine of an old rental that is not listed still counts as booting")
	}
	l.forgetMachine("i-9")
	l.sendRentals()
	for n := range 200 {
		id := fmt.Sprintf("req-1%05d", n)
		l.addJob(id, &headerRecord{PerChunk: 10, Job: wire.Job{ID: id, Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 1}})
	}
	for range 20 {
		c.now = c.now.Add(100 * time.Millisecond)
		l.authority = c.now.Add(time.Second)
		for _, j := range l.order {
			j.chunks[0].dirty, j.dirty, j.urgent, j.dirtyAt, j.write = true, true, false, c.now.Add(-time.Minute), nil
		}
		l.flush()
	}
	if len(l.obsoleteKeys) > 0 {
		t.Errorf("%v is never swept while there are counts to write", l.obsoleteKeys)
	}
}

// An earlier leader's attempt is kept where it runs, and its run is not sent again: the
// records may hold more than a team's limit allows.
func TestOldRunsAreNotSentAgain(t *testing.T) {
	_, l, j := leading(t)
	l.restore(j, 0, &taskRecord{Next: 1, Placed: []placedRecord{{Task: 0, Attempt: 1, Machine: "i-1", Session: 1, Zone: "a"}}}, 5)
	m := l.machine("i-1")
	l.apply(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 6})
	if cs := l.commands(m); len(cs) != 0 || j.attempts[0] == nil {
		t.Fatalf("commands %v, in force %v", cs, j.attempts[0] != nil)
	}
	l.apply(m, report(m, 7))
	if j.attempts[0] != nil {
		t.Fatal("in force though the machine, which has seen our token, does not list it")
	}
}

// An answer of the cloud may come when the authority is over: nobody is asked then.
func TestNobodyIsAskedWithoutAuthority(t *testing.T) {
	c, l, _ := leading(t)
	c.now = l.authority.Add(time.Millisecond)
	c.out = nil
	l.listed(wire.Machine{ID: "i-1", Addr: "10.0.0.1:9000", State: wire.MachineRunning})
	for _, o := range c.out {
		if _, call := o.(WorkerCall); call {
			t.Fatalf("asked: %v", o)
		}
	}
}

// A job may be seen first when it is cancelled already, by a copy that was read anew.
func TestJobThatIsSeenCancelledEnds(t *testing.T) {
	c, l, _ := leading(t)
	spec := wire.Job{ID: "req-000002", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1}
	c.headerChanged(spec.ID, &headerRecord{Job: spec, Cancelled: true, PerChunk: 10})
	j := l.jobs[spec.ID]
	if w := l.compose(j); !j.dirty || w == nil || w.final == nil || !w.final.Cancelled {
		t.Fatalf("dirty %v, write %+v: its end is never written", j.dirty, w)
	}
}

// chain returns a leader with two jobs, of which the second needs the first.
func chain(t *testing.T) (c *Core, l *leader, first, second *job) {
	t.Helper()
	c, l, _ = leading(t)
	due := 100.0
	specs := []wire.Job{
		{ID: "req-000010", Kind: wire.KindArray, Class: "a", Priority: "best_effort", Tasks: 1, CPUs: 1, EstimateS: 10},
		{ID: "req-000011", Kind: wire.KindArray, Class: "b", Priority: "high", Tasks: 1, CPUs: 1, EstimateS: 20, DeadlineS: &due, Needs: []string{"req-000010"}},
	}
	for i, spec := range specs {
		spec := spec
		c.control.versions[headerKey(spec.ID)] = uint64(i + 1)
		c.headerChanged(spec.ID, &headerRecord{Job: spec, AcceptedMS: c.now.UnixMilli(), PerChunk: 10})
	}
	return c, l, l.jobs["req-000010"], l.jobs["req-000011"]
}

// What a job needs has its priority and, less the estimate of what comes after, its
// deadline. Its own times count from the end of what it needs.
func TestPriorityAndDeadlinePassBack(t *testing.T) {
	c, l, first, second := chain(t)
	if first.terms.Rank != second.terms.Rank || first.due.within(1) != 80 || !l.blocked(second) {
		t.Fatalf("rank %d, due in %v, held %v", first.terms.Rank, first.due, l.blocked(second))
	}
	if ds := l.demands(); len(ds) != 2 || ds[1].Job != "req-000010" || ds[1].Rank != 1 {
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
// controller derives from its header that the other is called off.
func TestCancelledJobStaysWhileItIsNeeded(t *testing.T) {
	c, l, first, second := chain(t)
	c.headerChanged(first.id, &headerRecord{Job: first.spec, Cancelled: true, PerChunk: 10})
	if !second.cancelled || c.jobState(second.id).State != wire.StateCancelled {
		t.Fatalf("the job that needs it: %v", c.jobState(second.id))
	}
	if w := l.compose(first); w != nil {
		t.Fatalf("its end is written: %+v", w.txn)
	}
	w := l.compose(second)
	if w == nil || w.final == nil || !w.final.Cancelled {
		t.Fatalf("the end of the job that needs it: %+v", w)
	}
	c.headerChanged(second.id, nil)
	if w := l.compose(first); !first.dirty || w == nil || w.final == nil {
		t.Fatalf("dirty %v, its end: %+v", first.dirty, w)
	}
}

// serving lets a core take submissions that one team's machines can run.
func serving(c *Core) {
	members(c, thisVersion)
	c.setTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 8})
	c.control.loaded = true
}

// answerReads carries out what the core asks of the state service, which holds the given
// final records and nothing new beside them, until it answers a user or writes.
func answerReads(c *Core, finals map[string]finalRecord) (answer *Answer, txn *StateCall) {
	for len(c.out) > 0 {
		asked := c.out
		c.out = nil
		for _, o := range asked {
			switch o := o.(type) {
			case Answer:
				return &o, nil
			case StateCall:
				if o.Op == OpTxn {
					return nil, &o
				}
				resume(c.stateCalls, o.ID, readReply(c, o, finals))
			}
		}
	}
	return nil, nil
}

func readReply(c *Core, call StateCall, finals map[string]finalRecord) StateReply {
	f, over := finals[strings.TrimPrefix(call.Key, finalPrefix)]
	switch {
	case call.Op == OpWatch:
		return StateReply{Status: http.StatusOK, Watch: wire.Watch{Revision: c.control.revision}}
	case call.Op == OpGet && over:
		return StateReply{Status: http.StatusOK, Item: wire.Item{Key: call.Key, Value: wire.Marshal(f), Version: 1}}
	}
	return StateReply{Status: http.StatusNotFound}
}

// submitNeeding submits a job that needs others.
func submitNeeding(c *Core, finals map[string]finalRecord, needs []string) (answer *Answer, txn *StateCall) {
	spec := wire.Job{ID: "req-000099", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1, Image: "i", Needs: needs}
	c.out = nil
	c.submit(UserRequest{Req: 5, Op: UserSubmit, Body: wire.Marshal(spec)})
	return answerReads(c, finals)
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
		answer, txn := answerReads(c, cancelled)
		if answer == nil || answer.Status != http.StatusOK || answer.Body.(wire.JobState).State != wire.StateCancelled {
			t.Errorf("%s: answer %+v, write %+v", name, answer, txn)
		}
	}
}

func body(id string) []byte { return wire.Marshal(wire.Job{ID: id}) }
