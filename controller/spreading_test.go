package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/reduction"
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
	l.renewed, l.failures.listening.lastLook = l.c.now, l.c.now
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
		"a pause of the leader":    {func(l *leader) { l.failures.listening.began = l.c.now.Add(-2 * time.Second) }, balance.Unheard},
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
	l.failures.applyHeartbeat(from, rep)
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
	l.autoscaler.peaks["web"] = &peak{spec: wire.Job{Class: "web", Kind: wire.KindService, Priority: "prod", Team: "red", CPUs: 8, MemoryGB: 0.1}, tasks: 3, at: c.now}
	for range 50 {
		l.autoscaler.arrivals = append(l.autoscaler.arrivals, arrival{"web", 3, c.now.Add(30 * time.Second)})
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

// A task in held room is still placed only as its team's limit and its job's constraints allow.
func TestHeldRoomIsNoRight(t *testing.T) {
	for name, c := range map[string]struct {
		change func(l *leader, e balance.Entry)
		placed bool
	}{
		"as it is":                  {func(*leader, balance.Entry) {}, true},
		"its team is at its limit":  {func(l *leader, _ balance.Entry) { l.c.quotas["red"] = quotaOf(config.Team{CPUsMax: 6}) }, false},
		"its job avoids it now":     {func(l *leader, e balance.Entry) { l.jobs[e.Job].avoid[e.To] = true }, false},
		"the destination is silent": {func(l *leader, e balance.Entry) { l.machines[e.To].reported = l.c.now.Add(-time.Minute) }, false},
	} {
		_, l, _ := skewed(t)
		e := planned(l)[0]
		l.gone(l.jobs[e.Job].attempts[0], reduction.Reset, proofAbsent)
		c.change(l, e)
		l.spreading.run()
		l.placeAt = l.c.now
		l.place()
		a := l.jobs[e.Job].attempts[0]
		if placed := a != nil && a.machine.id == e.To; placed != c.placed {
			t.Errorf("%s: placed in its room %v", name, placed)
		}
		if entry, moving := l.spreading.ledger.Entry(e.TaskID); moving && entry.Held {
			t.Errorf("%s: room is held still", name)
		}
	}
}

// What is urgent takes as much held room as it needs, and no more; other work takes none.
func TestUrgentWorkTakesHeldRoom(t *testing.T) {
	for name, c := range map[string]struct {
		spec wire.Job
		left int // rooms that are held still
	}{
		"a service of two tasks": {wire.Job{ID: "req-000009", Kind: wire.KindService, Priority: "standard", Tasks: 2}, 1},
		"an array":               {wire.Job{ID: "req-000009", Kind: wire.KindArray, Priority: "standard", Tasks: 2}, 3},
	} {
		_, l := spreadingLeader(t, 4)
		for i := range 3 { // three machines are full but for one task each, whose room is held
			m := fmt.Sprintf("m000%d", i+1)
			runs(l, wire.Job{ID: fmt.Sprintf("req-00010%d", i), Kind: wire.KindService}, m, m, m)
			j := runs(l, wire.Job{ID: fmt.Sprintf("req-00000%d", i), Kind: wire.KindService}, "m0000")
			l.spreading.ledger.Begin(l.c.now, balance.Move{Task: j.attempts[0].movableTask(1), From: "m0000", To: m}, j.attempts[0].number)
		}
		runs(l, wire.Job{ID: "req-000200", Kind: wire.KindService}, "m0000")
		j := runs(l, c.spec)
		j.terms.Borrowed = true
		l.guaranteesAt = l.c.now
		l.placeAt = l.c.now
		l.place()
		left := 0
		for _, e := range l.spreading.ledger.Entries() {
			if e.Held {
				left++
			}
		}
		if left != c.left || len(j.attempts) != 3-c.left {
			t.Errorf("%s: %d rooms are held still, %d tasks are placed", name, left, len(j.attempts))
		}
	}
}

// What a destination must be: with room beside the other moves of a plan, of the same kind as the source,
// and none that the job avoids or its constraints rule out, the attempt itself not counted.
func TestDestinations(t *testing.T) {
	service := wire.Job{ID: "req-000000", Kind: wire.KindService}
	with := func(change func(*wire.Job)) wire.Job {
		spec := service
		change(&spec)
		return spec
	}
	for name, c := range map[string]struct {
		spec   wire.Job
		change func(l *leader, j *job, to *balance.Machine)
		fits   bool
	}{
		"as it is":                         {spec: service, fits: true},
		"other moves fill it":              {spec: service, change: func(_ *leader, _ *job, to *balance.Machine) { to.Used.CPUs += 7 }},
		"a spot machine":                   {spec: with(func(s *wire.Job) { s.Spot = true }), change: onSpot},
		"one that the job avoids":          {spec: service, change: func(l *leader, j *job, _ *balance.Machine) { j.avoid["m0003"] = true }},
		"one without the image":            {spec: service, change: func(l *leader, _ *job, _ *balance.Machine) { delete(l.machines["m0003"].images, "image") }},
		"an array needs no image":          {spec: with(func(s *wire.Job) { s.Kind = wire.KindArray }), change: func(l *leader, _ *job, _ *balance.Machine) { delete(l.machines["m0003"].images, "image") }, fits: true},
		"scattered, the last of its zone":  {spec: with(func(s *wire.Job) { s.Spread, s.Tasks = true, 2 }), fits: true},
		"scattered, another one there too": {spec: with(func(s *wire.Job) { s.Spread, s.Tasks = true, 2 }), change: func(l *leader, j *job, _ *balance.Machine) { place(l, j, 1, l.machines["m0001"]) }},
		"one zone, and it is another":      {spec: with(func(s *wire.Job) { s.OneZone, s.Tasks = true, 2 }), change: otherZone},
		"bound to a zone":                  {spec: with(func(s *wire.Job) { s.Zone = "b" })},
		"another type":                     {spec: with(func(s *wire.Job) { s.Types = []string{"big"} })},
	} {
		_, l := spreadingLeader(t, 4)
		j := runs(l, c.spec, "m0000")
		l.machines["m0003"].snapshot = nil
		var to *balance.Machine
		prepare := func() balance.Picture {
			picture := l.spreading.picture(l.view(false))
			to = &picture.Machines[3]
			return picture
		}
		picture := prepare()
		if c.change != nil {
			c.change(l, j, to)
			if name != "other moves fill it" {
				l.machines["m0003"].snapshot = nil
				picture = prepare()
			}
		}
		task := j.attempts[0].movableTask(1)
		if fits := picture.Fits(&task, to) && (task.OnlyImage == "" || picture.HasImage(to, task.OnlyImage)); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
}

func onSpot(l *leader, _ *job, _ *balance.Machine) { l.machines["m0003"].spot = true }

func otherZone(l *leader, j *job, _ *balance.Machine) {
	place(l, j, 1, l.machines["m0001"])
	l.machines["m0003"].zone = "b"
}

// What is being stopped is on its way off its machine: it makes that machine hot no more.
func TestStoppedTasksAreOnTheirWayOff(t *testing.T) {
	_, l, jobs := skewed(t)
	for _, j := range jobs[:2] {
		l.stop(j.attempts[0], 0)
	}
	for _, m := range l.spreading.picture(l.view(false)).Machines {
		if want := map[string]float64{"m0000": 0.5}[m.ID]; m.Share() != want {
			t.Errorf("%s has a share of %v, want %v", m.ID, m.Share(), want)
		}
	}
}

// Where idle machines are kept, none is returned for being idle, none is emptied; and nothing is rented
// for a task that has room held.
func TestKeptFleet(t *testing.T) {
	for _, keep := range []bool{true, false} {
		c, l, _ := skewed(t)
		c.op.Spreading.KeepIdle = keep
		pass(l, 30*time.Minute)
		l.autoscaler.scaleIn()
		released := 0
		for _, m := range l.fleetOrder {
			if m.releasing {
				released++
			}
		}
		if (released == 0) != keep {
			t.Errorf("idle machines are kept %v: %d are returned", keep, released)
		}
		l.autoscaler.consolidatedAt = time.Time{}
		l.autoscaler.consolidate()
		if looked := !l.autoscaler.consolidatedAt.IsZero(); looked == keep {
			t.Errorf("idle machines are kept %v: consolidation looks at machines %v", keep, looked)
		}
	}
	c, l, _ := skewed(t)
	e := planned(l)[0]
	c.op.Spreading.KeepIdle, l.autoscaler.consolidatedAt = false, time.Time{}
	if l.autoscaler.consolidate(); !l.autoscaler.consolidatedAt.IsZero() {
		t.Error("machines are emptied while a move is under way")
	}
	l.gone(l.jobs[e.Job].attempts[0], reduction.Reset, proofAbsent)
	for _, d := range l.autoscaler.backlog() {
		if d.Job == e.Job && len(d.Tasks) > 0 {
			t.Errorf("room is wanted for %v of %s", d.Tasks, d.Job)
		}
	}
}

// Where nothing can be moved, nothing is written, and machines that are suspected to be faulty neither
// give nor take.
func TestNothingToMove(t *testing.T) {
	c, l, jobs := skewed(t)
	l.spreading.record.until = time.Time{}
	for _, j := range jobs {
		j.avoid["m0001"], j.avoid["m0002"], j.avoid["m0003"] = true, true, true
	}
	l.spreading.run()
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn {
			t.Errorf("written: %+v", call.Txn)
		}
	}
	// Two jobs failed on it that have run well elsewhere: the fault is the machine's.
	for _, j := range jobs[:2] {
		l.machines["m0001"].faults[j.id] = true
		j.failures.Succeeded()
	}
	l.machines["m0001"].snapshot = nil
	for _, m := range l.spreading.picture(l.view(false)).Machines {
		if m.ID == "m0001" {
			t.Error("a faulty machine counts")
		}
	}
}

// The status tells of each hot machine why its tasks stay, of teams and images what is hot, and what moves.
func TestSpreadStatus(t *testing.T) {
	c, l, jobs := skewed(t)
	runs(l, wire.Job{ID: "req-000009", Kind: wire.KindArray}, "m0001")
	for _, m := range []string{"m0001", "m0002", "m0003"} {
		delete(l.machines[m].images, "image")
	}
	jobs[0].attempts[0].since = l.c.now
	ask := func() balance.Status {
		c.out = nil
		c.spreadStatus(SpreadStatusRequest{Req: 4})
		return c.out[0].(Answer).Body.(balance.Status)
	}
	s := ask()
	want := []balance.ReasonCount{{Reason: balance.Settling, Tasks: 1}, {Reason: balance.NoDestination, Tasks: 3}}
	if m := s.Machines[0]; !s.Leading || m.ID != "m0000" || !m.Hot || m.Movable != 0 || fmt.Sprint(m.Staying) != fmt.Sprint(want) {
		t.Errorf("%+v", s.Machines)
	}
	if len(s.Teams) != 1 || s.Teams[0].OnOne != 0.8 || len(s.Images) != 1 || s.Images[0].Tasks != 5 {
		t.Errorf("%+v, %+v", s.Teams, s.Images)
	}
	l.machines["m0003"].images["image"] = true
	moves := planned(l)
	if s = ask(); len(moves) != 1 || len(s.Moves) != 1 || s.Moves[0].To != moves[0].To || s.Counts.Begun != 1 {
		t.Errorf("%+v, told %+v", moves, s.Moves)
	}
	c.lead = nil
	if s = ask(); s.Leading || len(s.Machines) > 0 {
		t.Errorf("one that does not lead tells %+v", s)
	}
}
