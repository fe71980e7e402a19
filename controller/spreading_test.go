package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/wire"
	"pumicefront/zones"
)

// spreadingLeader is a leader that spreads load, with so many machines of eight cores that are all up.
func spreadingLeader(t testing.TB, machines int) (*Core, *leader) {
	t.Helper()
	c, l, j := leading(t)
	delete(l.jobs, j.id)
	l.order = nil
	c.op.Spreading = &config.LoadSpreading{Settings: balance.DefaultSettings()}
	c.op.Spreading.KeepIdle = true
	l.spreading = newSpreading(l)
	serving(c)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 80000})
	for i := range machines {
		m := l.machine(fmt.Sprintf("m%04d", i))
		m.up, m.typ, m.zone, m.session, m.seq, m.images["image"] = true, "small", "a", 1, 1, true
	}
	l.authority = c.now.Add(time.Hour)
	l.c.control.lastRead = c.now.Add(time.Hour)
	pass(l, time.Minute)
	return c, l
}

// pass has time pass in which all machines report and the lease is renewed.
func pass(l *leader, d time.Duration) {
	l.c.now = l.c.now.Add(d)
	for _, m := range l.machines {
		m.reported, m.answered = l.c.now, l.c.now
	}
	l.renewed, l.listening.lastLook = l.c.now, l.c.now
}

// runs adds a job whose tasks run on the given machines.
func runs(l *leader, spec wire.Job, machines ...string) *job {
	spec.Team, spec.Priority, spec.Image, spec.CPUs, spec.MemoryGB = "red", "standard", "image", 2, 0.1
	spec.Tasks = max(spec.Tasks, len(machines))
	l.c.control.versions[headerKey(spec.ID)] = 3
	l.c.control.headers[spec.ID] = &headerRecord{Job: spec, PerChunk: 100, AcceptedMS: l.c.now.UnixMilli()}
	j := l.addJob(spec.ID, l.c.control.headers[spec.ID])
	for i, id := range machines {
		a := place(l, j, i, l.machines[id])
		a.phase, a.since = attemptRunning, l.c.now
	}
	return j
}

// skewed is a leader with four machines, of which the first is full with a task each of four services.
func skewed(t *testing.T) (*Core, *leader, []*job) {
	c, l := spreadingLeader(t, 4)
	var jobs []*job
	for i := range 4 {
		jobs = append(jobs, runs(l, wire.Job{ID: fmt.Sprintf("req-00000%d", i), Kind: wire.KindService}, "m0000"))
	}
	pass(l, 2*time.Minute)
	l.spreading.record.until = c.now.Add(time.Minute)
	c.out = nil
	return c, l, jobs
}

// planned has time pass and returns the moves that are under way then.
func planned(l *leader) []balance.Entry {
	for range 3 {
		pass(l, 4*time.Second)
		l.spreading.record.until = l.c.now.Add(time.Minute)
		l.spreading.run()
	}
	return l.spreading.ledger.Entries()
}

// Whatever speaks against moves prevents them, and is told; without it there are moves.
func TestWhatSpeaksAgainstMoves(t *testing.T) {
	waiting := func(l *leader) { runs(l, wire.Job{ID: "req-000009", Kind: wire.KindArray, Tasks: 1}) }
	for name, c := range map[string]struct {
		change func(l *leader)
		want   balance.Block
	}{
		"nothing":                  {func(*leader) {}, balance.NotBlocked},
		"no lease":                 {func(l *leader) { l.authority = l.c.now }, balance.NoLease},
		"late renewals":            {func(l *leader) { l.renewed = l.c.now.Add(-time.Second) }, balance.NoLease},
		"a new leader":             {func(l *leader) { l.elected = l.c.now.Add(-2 * time.Second) }, balance.Unheard},
		"a pause of the leader":    {func(l *leader) { l.listening.began = l.c.now.Add(-2 * time.Second) }, balance.Unheard},
		"a machine not heard":      {func(l *leader) { l.machines["m0000"].up = false }, balance.Unheard},
		"a partition":              {func(l *leader) { l.partitions.active = map[string]bool{"a": true} }, balance.NetworkFault},
		"a zone recovery":          {recoverZone, balance.Recovering},
		"work that waits":          {waiting, balance.WorkWaits},
		"few writes left":          {func(l *leader) { l.budget.background.AllowN(l.c.now, l.budget.burst()*2/3) }, balance.WritesShort},
		"headroom that was short":  {func(l *leader) { l.spreading.pausedUntil = l.c.now.Add(time.Second) }, balance.HeadroomShort},
		"work at its team's limit": {func(l *leader) { waiting(l); l.c.quotas["red"] = quotaOf(config.Team{CPUsMax: 8}) }, balance.NotBlocked},
	} {
		_, l, _ := skewed(t)
		c.change(l)
		if got := l.spreading.blocked(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		l.spreading.plannedAt = time.Time{}
		l.spreading.ledger.Allowance(l.c.now.Add(-time.Minute), 4, 0)
		l.spreading.run()
		if moves := l.spreading.ledger.Len(); (moves > 0) != (c.want == balance.NotBlocked) {
			t.Errorf("%s: %d moves", name, moves)
		}
	}
}

func recoverZone(l *leader) {
	l.c.op.ZoneRecovery = &config.ZoneRecovery{Settings: zones.DefaultSettings()}
	l.zones = newZoneRecovery(l)
	l.zones.tracker.Observe(l.c.now, []zones.Health{{Zone: "a", Silent: 9}, {Zone: "b", Responsive: 9}})
}

// What work tolerates: each kind of it, and why the rest stays.
func TestWhatTolerates(t *testing.T) {
	saves := wire.Job{ID: "req-000009", Kind: wire.KindArray, EstimateS: 4000, CheckpointS: 20, SaveS: 1}
	with := func(change func(*wire.Job)) wire.Job {
		spec := saves
		change(&spec)
		return spec
	}
	late, soon := 4010.0, 9000.0
	service := wire.Job{ID: "req-000009", Kind: wire.KindService}
	for name, c := range map[string]struct {
		spec   wire.Job
		change func(l *leader, j *job)
		want   balance.Reason
	}{
		"a service":                     {spec: service},
		"an array that saves":           {spec: saves},
		"a deadline that holds":         {spec: with(func(s *wire.Job) { s.DeadlineS = &soon })},
		"a deadline that would not":     {spec: with(func(s *wire.Job) { s.DeadlineS = &late }), want: balance.WouldBeLate},
		"an aim that would not":         {spec: with(func(s *wire.Job) { s.Class = "timely" }), want: balance.WouldBeLate},
		"in a chain":                    {spec: with(func(s *wire.Job) { s.DeadlineS, s.Needs = &soon, []string{"req-1"} }), want: balance.BoundChain},
		"about to end":                  {spec: with(func(s *wire.Job) { s.EstimateS = 130 }), want: balance.TooDear},
		"can't save":                    {spec: with(func(s *wire.Job) { s.CheckpointS = 0 }), want: balance.NoCheckpoints},
		"no estimate":                   {spec: with(func(s *wire.Job) { s.EstimateS = 0 }), want: balance.NoEstimate},
		"a gang":                        {spec: with(func(s *wire.Job) { s.Kind = wire.KindGang }), want: balance.Gang},
		"another cell's":                {spec: saves, change: func(_ *leader, j *job) { j.origin = &originRecord{} }, want: balance.OtherCells},
		"being stopped":                 {spec: service, change: func(_ *leader, j *job) { j.attempts[0].stopping = true }, want: balance.BeingStopped},
		"stopped by an earlier leader":  {spec: saves, change: func(_ *leader, j *job) { j.attempts[0].saving = true }, want: balance.BeingStopped},
		"cancelled":                     {spec: saves, change: func(_ *leader, j *job) { j.cancelled = true }, want: balance.BeingStopped},
		"not seen running":              {spec: saves, change: func(_ *leader, j *job) { j.attempts[0].phase = attemptSeen }, want: balance.NotRunning},
		"not settled":                   {spec: service, change: func(l *leader, j *job) { j.attempts[0].since = l.c.now.Add(-59 * time.Second) }, want: balance.Settling},
		"another replica starts":        {spec: service, change: func(_ *leader, j *job) { j.attempts[1].phase = attemptSeen }, want: balance.ReplicaAway},
		"another replica stops":         {spec: service, change: func(_ *leader, j *job) { j.attempts[1].stopping = true }, want: balance.ReplicaAway},
		"another replica is missing":    {spec: service, change: func(_ *leader, j *job) { delete(j.attempts, 1) }, want: balance.ReplicaAway},
		"has moved":                     {spec: service, change: hasMoved, want: balance.MovedBefore},
		"may have moved":                {spec: service, change: mayHaveMoved, want: balance.MovedBefore},
		"placed since the last moves":   {spec: service, change: func(l *leader, _ *job) { l.spreading.record.keepUntil = l.c.now.Add(time.Minute) }},
		"lost work before, time is up":  {spec: with(func(s *wire.Job) { s.EstimateS = 600 }), change: readyLongAgo, want: balance.TooDear},
		"an earlier leader's, time too": {spec: with(func(s *wire.Job) { s.EstimateS = 600 }), change: restoredLongAgo, want: balance.TooDear},
	} {
		core, l := spreadingLeader(t, 4)
		core.cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "timely", WithinS: 4000}}
		j := runs(l, c.spec, "m0000", "m0001")
		pass(l, 2*time.Minute)
		if c.change != nil {
			c.change(l, j)
		}
		if got, _ := newTolerances(l.spreading).of(j.attempts[0]); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func hasMoved(l *leader, j *job) {
	l.spreading.ledger.Begin(l.c.now, balance.Move{Task: balance.Task{TaskID: balance.TaskID{Job: j.id}}}, 1)
}

func mayHaveMoved(l *leader, j *job) {
	j.attempts[0].restored, l.spreading.record.keepUntil = true, l.c.now.Add(time.Second)
}

func readyLongAgo(l *leader, j *job) {
	j.disrupted, j.ready = true, l.c.now.Add(-500*time.Second)
}

func restoredLongAgo(l *leader, j *job) {
	j.attempts[0].restored, j.ready = true, l.c.now.Add(-500*time.Second)
}

// A move stops its attempt, which stays in force and counts until it is proved gone; room is held
// meanwhile and is the task's alone.
func TestMoveHoldsRoom(t *testing.T) {
	c, l, _ := skewed(t)
	moves := planned(l)
	if len(moves) != 1 { // in flight at most in so small a fleet
		t.Fatalf("%d moves", len(moves))
	}
	e := moves[0]
	j, from := l.jobs[e.Job], l.machines["m0000"]
	if a := j.attempts[0]; !a.stopping || e.From != "m0000" || l.teamUse()["red"].CPUs != 8 {
		t.Fatalf("%+v, team uses %v", e, l.teamUse()["red"])
	}
	free := func(id string) float64 {
		for _, m := range l.view(true) {
			if m.ID == id {
				return m.Free.CPUs
			}
		}
		return -1
	}
	if free(e.To) != 6 || free("m0000") != 0 {
		t.Errorf("%v cores are free at the destination, %v at the source", free(e.To), free("m0000"))
	}
	if l.spreading.withoutHeld(l.demands()); len(l.demands()) != 0 {
		t.Error("a task in force is wanted elsewhere")
	}
	var others []wire.Task
	for _, a := range from.list {
		state, why := wire.TaskRunning, ""
		if a.job == j {
			state, why = wire.TaskExited, wire.WhyStopped
		}
		others = append(others, wire.Task{ID: a.taskID(), Attempt: a.number, State: state, Why: why})
	}
	rep := report(from, l.token, others...)
	rep.Addr, rep.Type, rep.Zone = from.addr, from.typ, from.zone
	l.apply(from, rep)
	l.spreading.run()
	if ds := l.spreading.withoutHeld(l.demands()); len(ds) != 1 || len(ds[0].Tasks) != 0 {
		t.Errorf("room would be rented for a task that has some held: %+v", ds)
	}
	c.now = c.now.Add(time.Second)
	l.place()
	if a := j.attempts[0]; a == nil || a.machine.id != e.To || a.phase != attemptPlanned || free(e.To) != 6 {
		t.Errorf("placed as %+v, %v cores are free there", a, free(e.To))
	}
}

// No move is begun before the record says that there may be some; the record is conditional on
// leadership, and what an earlier leader's says binds the next one.
func TestRecordOfMoves(t *testing.T) {
	c, l, _ := skewed(t)
	l.spreading.record = movesRecordCopy{version: 8}
	l.spreading.ledger.Allowance(c.now.Add(-time.Minute), 4, 0)
	l.spreading.run()
	if l.spreading.ledger.Len() > 0 || l.spreading.block != balance.RecordUnwritten {
		t.Fatalf("%d moves, blocked by %q", l.spreading.ledger.Len(), l.spreading.block)
	}
	var call StateCall
	for _, o := range c.out {
		if txn, ok := o.(StateCall); ok && txn.Op == OpTxn {
			call = txn
		}
	}
	want := []wire.Cond{l.leadershipCondition(), {Key: movesKey, Version: 8}}
	if fmt.Sprint(call.Txn.If) != fmt.Sprint(want) || call.Txn.Then[0].Put != movesKey {
		t.Fatalf("%+v", call.Txn)
	}
	resume(c.stateCalls, call.ID, StateReply{ID: call.ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 9}})
	if len(planned(l)) == 0 {
		t.Error("no move once it is written")
	}
	next := newSpreading(l)
	next.restoreMoves([]wire.Item{{Key: movesKey, Value: call.Txn.Then[0].Value, Version: 9}})
	until := next.record.keepUntil.Sub(c.now)
	if stay := l.spreading.settings().Stay; until < stay || until > stay+movesAhead || next.record.version != 9 || !next.record.until.IsZero() {
		t.Errorf("a new leader lets what it finds stay for %v: %+v", until, next.record)
	}
	ahead := wire.Marshal(movesRecord{c.now.Add(24 * time.Hour).UnixMilli()})
	next.restoreMoves([]wire.Item{{Key: movesKey, Value: ahead, Version: 9}})
	if until := next.record.keepUntil.Sub(c.now); until > l.spreading.settings().Stay+movesAhead {
		t.Errorf("a clock that was ahead holds moves back for %v", until)
	}
}

// Moves that an earlier leader has begun count as under way.
func TestMovesOfAnEarlierLeaderCount(t *testing.T) {
	_, l, jobs := skewed(t)
	jobs[0].attempts[0].saving = true
	if moves := planned(l); len(moves) > 0 {
		t.Errorf("%+v beside one that an earlier leader has begun", moves)
	}
}

// Headroom that fits only beside the moves holds them back: nothing is rented for their sake.
func TestMovesKeepHeadroom(t *testing.T) {
	c, l, _ := skewed(t)
	c.op.HeadroomMost, c.op.Headroom = 10, 10
	c.setTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 8, BootS: 60, Zones: []string{"a"}}})
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 1}}
	l.fleet.peaks["web"] = &peak{spec: wire.Job{Class: "web", Kind: wire.KindService, Priority: "prod", Team: "red", CPUs: 8, MemoryGB: 0.1}, tasks: 3, at: c.now}
	for range 50 {
		l.arrivals = append(l.arrivals, arrival{"web", 3, c.now.Add(30 * time.Second)})
	}
	if before := l.spreading.headroomPlaced(l.view(false), nil); before != 3 {
		t.Fatalf("%d places of headroom", before)
	}
	if moves := planned(l); len(moves) > 0 || l.spreading.block != balance.HeadroomShort {
		t.Errorf("%d moves, blocked by %q", len(moves), l.spreading.block)
	}
}

// Without the operators' block nothing of it exists.
func TestSpreadingOff(t *testing.T) {
	_, l, _ := leading(t)
	read := false
	l.readOptional(func(string, func([]wire.Item)) { read = true }, func() {})
	if l.spreading != nil || read || l.spreading.keepsIdle() || l.spreading.moving() {
		t.Error("something of load spreading is there")
	}
	l.spreading.run()
	l.spreading.prepare(nil, nil)
}
