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

// spreadingLeader returns a leader that spreads load over the given number of eight-core machines, which are all up.
func spreadingLeader(t testing.TB, machines int) (*Core, *leader) {
	t.Helper()
	c, l, j := newLeadingCore(t)
	delete(l.jobs, j.id)
	l.jobsByAcceptance = nil
	c.op.Spreading = &config.LoadSpreading{Settings: balance.DefaultSettings()}
	c.op.Spreading.KeepIdle = true
	l.spreading = newSpreading(l)
	acceptSubmissions(c)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 80000})
	for i := range machines {
		m := l.machine(fmt.Sprintf("m%04d", i))
		m.up, m.typ, m.zone, m.session, m.seq, m.images["image"] = true, "small", "a", 1, 1, true
	}
	l.authority = c.now.Add(time.Hour)
	l.c.watchCache.lastRead = c.now.Add(time.Hour)
	advance(l, time.Minute)
	return c, l
}

// advance lets time pass in which all machines report and the lease is renewed.
func advance(l *leader, d time.Duration) {
	l.c.now = l.c.now.Add(d)
	for _, m := range l.machines {
		m.lastHeartbeat, m.leaseRenewedAt = l.c.now, l.c.now
	}
	l.renewed, l.failureDetector.listening.lastObserved = l.c.now, l.c.now
}

// addRunningJob adds a job whose tasks run on the given machines.
func addRunningJob(l *leader, spec wire.Job, machines ...string) *job {
	spec.Team, spec.Priority, spec.Image, spec.CPUs, spec.MemoryGB = "red", "standard", "image", 2, 0.1
	spec.Tasks = max(spec.Tasks, len(machines))
	l.c.watchCache.versions[headerKey(spec.ID)] = 3
	l.c.watchCache.headers[spec.ID] = &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: l.c.now.UnixMilli()}
	j := l.addJob(spec.ID, l.c.watchCache.headers[spec.ID])
	for i, id := range machines {
		a := placeAttempt(l, j, i, l.machines[id])
		a.phase, a.runningSince = attemptRunning, l.c.now
	}
	return j
}

// skewedLeader returns a leader with four machines, of which the first is full with one task of each of four services.
func skewedLeader(t *testing.T) (*Core, *leader, []*job) {
	c, l := spreadingLeader(t, 4)
	var jobs []*job
	for i := range 4 {
		jobs = append(jobs, addRunningJob(l, wire.Job{ID: fmt.Sprintf("req-00000%d", i), Kind: wire.KindService}, "m0000"))
	}
	advance(l, 2*time.Minute)
	l.spreading.record.until = c.now.Add(time.Minute)
	c.out = nil
	return c, l, jobs
}

// runUntilPlanned lets time pass, runs load spreading, and returns the moves that are active then.
func runUntilPlanned(l *leader) []balance.ActiveMove {
	for range 3 {
		advance(l, 4*time.Second)
		l.spreading.record.until = l.c.now.Add(time.Minute)
		l.spreading.run()
	}
	return l.spreading.tracker.ActiveMoves()
}

// Each condition that blocks moves prevents them and is reported; without one, moves start.
func TestMoveBlocks(t *testing.T) {
	waiting := func(l *leader) { addRunningJob(l, wire.Job{ID: "req-000009", Kind: wire.KindArray, Tasks: 1}) }
	for name, c := range map[string]struct {
		change func(l *leader)
		want   balance.BlockReason
	}{
		"nothing":                         {func(*leader) {}, balance.NotBlocked},
		"no lease":                        {func(l *leader) { l.authority = l.c.now }, balance.NoLease},
		"late renewals":                   {func(l *leader) { l.renewed = l.c.now.Add(-time.Second) }, balance.NoLease},
		"a new leader":                    {func(l *leader) { l.elected = l.c.now.Add(-2 * time.Second) }, balance.MachinesNotReported},
		"a pause of the leader":           {func(l *leader) { l.failureDetector.listening.startedAt = l.c.now.Add(-2 * time.Second) }, balance.MachinesNotReported},
		"a machine that has not reported": {func(l *leader) { l.machines["m0000"].up = false }, balance.MachinesNotReported},
		"a partition":                     {func(l *leader) { l.partitions.active = map[string]bool{"a": true} }, balance.NetworkFault},
		"a zone recovery":                 {recoverZone, balance.ZoneRecovering},
		"work that waits":                 {waiting, balance.WorkPending},
		"few writes left":                 {func(l *leader) { l.budget.background.AllowN(l.c.now, l.budget.burst()*2/3) }, balance.WriteBudgetShort},
		"headroom that is short":          {func(l *leader) { l.spreading.pausedUntil = l.c.now.Add(time.Second) }, balance.HeadroomShort},
		"work at its team's limit":        {func(l *leader) { waiting(l); l.c.quotas["red"] = quotaOf(config.Team{CPUsMax: 8}) }, balance.NotBlocked},
	} {
		_, l, _ := skewedLeader(t)
		c.change(l)
		if got := l.spreading.moveBlock(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		l.spreading.plannedAt = time.Time{}
		l.spreading.tracker.Allowance(l.c.now.Add(-time.Minute), 4, 0)
		l.spreading.run()
		if moves := l.spreading.tracker.Len(); (moves > 0) != (c.want == balance.NotBlocked) {
			t.Errorf("%s: %d moves", name, moves)
		}
	}
}

func recoverZone(l *leader) {
	l.c.op.ZoneRecovery = &config.ZoneRecovery{Settings: zones.DefaultSettings()}
	l.zones = newZoneRecovery(l)
	l.zones.tracker.Observe(l.c.now, []zones.Health{{Zone: "a", Silent: 9}, {Zone: "b", Responsive: 9}})
}

// Which work tolerates a move, and why other work stays.
func TestMoveTolerances(t *testing.T) {
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
		"a service":                         {spec: service},
		"an array that saves":               {spec: saves},
		"a deadline that is met":            {spec: with(func(s *wire.Job) { s.DeadlineS = &soon })},
		"a deadline that would be missed":   {spec: with(func(s *wire.Job) { s.DeadlineS = &late }), want: balance.WouldBeLate},
		"an objective that would be missed": {spec: with(func(s *wire.Job) { s.Class = "timely" }), want: balance.WouldBeLate},
		"in a chain":                        {spec: with(func(s *wire.Job) { s.DeadlineS, s.Needs = &soon, []string{"req-1"} }), want: balance.DeadlineChain},
		"about to end":                      {spec: with(func(s *wire.Job) { s.EstimateS = 130 }), want: balance.TooCostly},
		"can't save a checkpoint":           {spec: with(func(s *wire.Job) { s.CheckpointS = 0 }), want: balance.NoCheckpoints},
		"no estimate":                       {spec: with(func(s *wire.Job) { s.EstimateS = 0 }), want: balance.NoEstimate},
		"a gang":                            {spec: with(func(s *wire.Job) { s.Kind = wire.KindGang }), want: balance.Gang},
		"another cell's":                    {spec: saves, change: func(_ *leader, j *job) { j.origin = &originRecord{} }, want: balance.OwnedByOtherCell},
		"being stopped":                     {spec: service, change: func(_ *leader, j *job) { j.attempts[0].stopping = true }, want: balance.BeingStopped},
		"stopped by an earlier leader":      {spec: saves, change: func(_ *leader, j *job) { j.attempts[0].savingCheckpoint = true }, want: balance.BeingStopped},
		"cancelled":                         {spec: saves, change: func(_ *leader, j *job) { j.cancelled = true }, want: balance.BeingStopped},
		"not seen running":                  {spec: saves, change: func(_ *leader, j *job) { j.attempts[0].phase = attemptReported }, want: balance.NotRunning},
		"started recently":                  {spec: service, change: func(l *leader, j *job) { j.attempts[0].runningSince = l.c.now.Add(-59 * time.Second) }, want: balance.RecentlyStarted},
		"another replica starts":            {spec: service, change: func(_ *leader, j *job) { j.attempts[1].phase = attemptReported }, want: balance.ReplicaNotUp},
		"another replica stops":             {spec: service, change: func(_ *leader, j *job) { j.attempts[1].stopping = true }, want: balance.ReplicaNotUp},
		"another replica is missing":        {spec: service, change: func(_ *leader, j *job) { delete(j.attempts, 1) }, want: balance.ReplicaNotUp},
		"has moved":                         {spec: service, change: hasMoved, want: balance.RecentlyMoved},
		"may have moved":                    {spec: service, change: mayHaveMoved, want: balance.RecentlyMoved},
		"placed since the last moves":       {spec: service, change: func(l *leader, _ *job) { l.spreading.record.restoredStayUntil = l.c.now.Add(time.Minute) }},
		"disrupted, estimate is used up":    {spec: with(func(s *wire.Job) { s.EstimateS = 600 }), change: readyLongAgo, want: balance.TooCostly},
		"restored, estimate is used up":     {spec: with(func(s *wire.Job) { s.EstimateS = 600 }), change: restoredLongAgo, want: balance.TooCostly},
	} {
		core, l := spreadingLeader(t, 4)
		core.cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "timely", WithinS: 4000}}
		j := addRunningJob(l, c.spec, "m0000", "m0001")
		advance(l, 2*time.Minute)
		if c.change != nil {
			c.change(l, j)
		}
		if got, _ := newMoveTolerances(l.spreading).check(j.attempts[0]); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func hasMoved(l *leader, j *job) {
	l.spreading.tracker.Start(l.c.now, balance.Move{Task: balance.Task{TaskID: balance.TaskID{Job: j.id}}}, 1)
}

func mayHaveMoved(l *leader, j *job) {
	j.attempts[0].restored, l.spreading.record.restoredStayUntil = true, l.c.now.Add(time.Second)
}

func readyLongAgo(l *leader, j *job) {
	j.disrupted, j.ready = true, l.c.now.Add(-500*time.Second)
}

func restoredLongAgo(l *leader, j *job) {
	j.attempts[0].restored, j.ready = true, l.c.now.Add(-500*time.Second)
}

// A move stops its attempt, which stays active and counts for its team until it is proved to have ended. Room is
// reserved meanwhile, for this task alone.
func TestMoveReservesRoom(t *testing.T) {
	c, l, _ := skewedLeader(t)
	moves := runUntilPlanned(l)
	if len(moves) != 1 { // the most that may be active in so small a fleet
		t.Fatalf("%d moves", len(moves))
	}
	e := moves[0]
	j, from := l.jobs[e.Job], l.machines["m0000"]
	if a := j.attempts[0]; !a.stopping || e.From != "m0000" || l.teamUse()["red"].CPUs != 8 {
		t.Fatalf("%+v, team uses %v", e, l.teamUse()["red"])
	}
	free := func(id string) float64 {
		for _, m := range l.schedulerView(true) {
			if m.ID == id {
				return m.Free.CPUs
			}
		}
		return -1
	}
	if free(e.To) != 6 || free("m0000") != 0 {
		t.Errorf("%v cores are free at the destination, %v at the source, want 6 and 0", free(e.To), free("m0000"))
	}
	if l.spreading.withoutReserved(l.demands()); len(l.demands()) != 0 {
		t.Error("a task with an active attempt is demanded again")
	}
	var tasks []wire.Task
	for _, a := range from.attemptsInOrder() {
		state, exitReason := wire.TaskRunning, ""
		if a.job == j {
			state, exitReason = wire.TaskExited, wire.ExitReasonStopped
		}
		tasks = append(tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: state, ExitReason: exitReason})
	}
	rep := newReport(from, l.token, tasks...)
	rep.Addr, rep.Type, rep.Zone = from.addr, from.typ, from.zone
	l.failureDetector.applyHeartbeat(from, rep)
	l.spreading.run()
	if ds := l.spreading.withoutReserved(l.demands()); len(ds) != 1 || len(ds[0].Tasks) != 0 {
		t.Errorf("machines would be requested for a task with reserved room: %+v", ds)
	}
	c.now = c.now.Add(time.Second)
	l.runPlacementRound()
	if a := j.attempts[0]; a == nil || a.machine.id != e.To || a.phase != attemptPlanned || free(e.To) != 6 {
		t.Errorf("placed as %+v, %v cores are free there", a, free(e.To))
	}
}

// No move starts before the record that allows it is written. The write is conditional on leadership, and the next
// leader obeys the record of an earlier one.
func TestMovesRecord(t *testing.T) {
	c, l, _ := skewedLeader(t)
	l.spreading.record = movesRecordState{version: 8}
	l.spreading.tracker.Allowance(c.now.Add(-time.Minute), 4, 0)
	l.spreading.run()
	if l.spreading.tracker.Len() > 0 || l.spreading.block != balance.RecordNotWritten {
		t.Fatalf("%d moves, blocked by %q", l.spreading.tracker.Len(), l.spreading.block)
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
	if len(runUntilPlanned(l)) == 0 {
		t.Error("no moves after the record is written")
	}
	next := newSpreading(l)
	next.restoreMovesRecord([]wire.Item{{Key: movesKey, Value: call.Txn.Then[0].Value, Version: 9}})
	until := next.record.restoredStayUntil.Sub(c.now)
	if stay := l.spreading.settings().Stay; until < stay || until > stay+movesRecordHorizon || next.record.version != 9 || !next.record.until.IsZero() {
		t.Errorf("a new leader does not move restored tasks for %v: %+v", until, next.record)
	}
	ahead := wire.Marshal(movesRecord{c.now.Add(24 * time.Hour).UnixMilli()})
	next.restoreMovesRecord([]wire.Item{{Key: movesKey, Value: ahead, Version: 9}})
	if until := next.record.restoredStayUntil.Sub(c.now); until > l.spreading.settings().Stay+movesRecordHorizon {
		t.Errorf("a clock that was ahead delays moves for %v", until)
	}
}

// Moves that an earlier leader has started count as active.
func TestMovesOfAnEarlierLeaderCount(t *testing.T) {
	_, l, jobs := skewedLeader(t)
	jobs[0].attempts[0].savingCheckpoint = true
	if moves := runUntilPlanned(l); len(moves) > 0 {
		t.Errorf("moves %+v start in addition to one of an earlier leader", moves)
	}
}

// No moves are started if headroom fits only without them: no machines are requested for the sake of moves.
func TestMovesPreserveHeadroom(t *testing.T) {
	c, l, _ := skewedLeader(t)
	c.op.HeadroomMost, c.op.Headroom = 10, 10
	c.setTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 8, BootS: 60, Zones: []string{"a"}}})
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 1}}
	l.autoscaler.peaks["web"] = &peak{spec: wire.Job{Class: "web", Kind: wire.KindService, Priority: "prod", Team: "red", CPUs: 8, MemoryGB: 0.1}, tasks: 3, at: c.now}
	for range 50 {
		l.autoscaler.arrivals = append(l.autoscaler.arrivals, arrival{"web", 3, c.now.Add(30 * time.Second)})
	}
	if before := l.spreading.headroomPlaced(l.schedulerView(false), nil); before != 3 {
		t.Fatalf("room for %d tasks of headroom, want 3", before)
	}
	if moves := runUntilPlanned(l); len(moves) > 0 || l.spreading.block != balance.HeadroomShort {
		t.Errorf("%d moves, blocked by %q", len(moves), l.spreading.block)
	}
}

// Without the operators' settings for it, load spreading does nothing.
func TestSpreadingOff(t *testing.T) {
	_, l, _ := newLeadingCore(t)
	read := false
	l.readOptional(func(string, func([]wire.Item)) { read = true }, func() {})
	if l.spreading != nil || read || l.spreading.keepsIdleMachines() || l.spreading.moving() {
		t.Error("load spreading is active without its settings")
	}
	l.spreading.run()
	l.spreading.setBalance(nil, nil)
}

// A task with reserved room is still placed only as its team's limit and its job's constraints allow.
func TestReservedRoomObeysLimitsAndConstraints(t *testing.T) {
	for name, c := range map[string]struct {
		change func(l *leader, e balance.ActiveMove)
		placed bool
	}{
		"as it is":                  {func(*leader, balance.ActiveMove) {}, true},
		"its team is at its limit":  {func(l *leader, _ balance.ActiveMove) { l.c.quotas["red"] = quotaOf(config.Team{CPUsMax: 6}) }, false},
		"its job avoids it now":     {func(l *leader, e balance.ActiveMove) { l.jobs[e.Job].avoidedMachines[e.To] = true }, false},
		"the destination is silent": {func(l *leader, e balance.ActiveMove) { l.machines[e.To].lastHeartbeat = l.c.now.Add(-time.Minute) }, false},
	} {
		_, l, _ := skewedLeader(t)
		e := runUntilPlanned(l)[0]
		l.removeAttempt(l.jobs[e.Job].attempts[0], reduction.Reset, proofAbsent)
		c.change(l, e)
		l.spreading.run()
		l.placementDueAt = l.c.now
		l.runPlacementRound()
		a := l.jobs[e.Job].attempts[0]
		if placed := a != nil && a.machine.id == e.To; placed != c.placed {
			t.Errorf("%s: placed in reserved room is %v", name, placed)
		}
		if entry, moving := l.spreading.tracker.ActiveMove(e.TaskID); moving && entry.Reserved {
			t.Errorf("%s: room is still reserved", name)
		}
	}
}

// Urgent work takes as much reserved room as it needs and no more; other work takes none.
func TestUrgentWorkTakesReservedRoom(t *testing.T) {
	for name, c := range map[string]struct {
		spec wire.Job
		left int // tasks whose room is still reserved
	}{
		"a service of two tasks": {wire.Job{ID: "req-000009", Kind: wire.KindService, Priority: "standard", Tasks: 2}, 1},
		"an array":               {wire.Job{ID: "req-000009", Kind: wire.KindArray, Priority: "standard", Tasks: 2}, 3},
	} {
		_, l := spreadingLeader(t, 4)
		for i := range 3 { // three machines have room for one task each, and it is reserved
			m := fmt.Sprintf("m000%d", i+1)
			addRunningJob(l, wire.Job{ID: fmt.Sprintf("req-00010%d", i), Kind: wire.KindService}, m, m, m)
			j := addRunningJob(l, wire.Job{ID: fmt.Sprintf("req-00000%d", i), Kind: wire.KindService}, "m0000")
			l.spreading.tracker.Start(l.c.now, balance.Move{Task: j.attempts[0].movableTask(1), From: "m0000", To: m}, j.attempts[0].number)
		}
		addRunningJob(l, wire.Job{ID: "req-000200", Kind: wire.KindService}, "m0000")
		j := addRunningJob(l, c.spec)
		j.terms.Borrowed = true
		l.guaranteesAssignedAt = l.c.now
		l.placementDueAt = l.c.now
		l.runPlacementRound()
		left := 0
		for _, e := range l.spreading.tracker.ActiveMoves() {
			if e.Reserved {
				left++
			}
		}
		if left != c.left || len(j.attempts) != 3-c.left {
			t.Errorf("%s: room is still reserved for %d tasks, %d tasks are placed", name, left, len(j.attempts))
		}
	}
}

// A destination must have room beside the other moves of a plan, be of the same kind as the source (spot or not), and
// be neither avoided by the job nor ruled out by its constraints; the moved attempt itself is not counted.
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
		"as it is":                      {spec: service, fits: true},
		"other moves fill it":           {spec: service, change: func(_ *leader, _ *job, to *balance.Machine) { to.Used.CPUs += 7 }},
		"a spot machine":                {spec: with(func(s *wire.Job) { s.Spot = true }), change: onSpot},
		"one that the job avoids":       {spec: service, change: func(l *leader, j *job, _ *balance.Machine) { j.avoidedMachines["m0003"] = true }},
		"one without the image":         {spec: service, change: func(l *leader, _ *job, _ *balance.Machine) { delete(l.machines["m0003"].images, "image") }},
		"an array needs no image":       {spec: with(func(s *wire.Job) { s.Kind = wire.KindArray }), change: func(l *leader, _ *job, _ *balance.Machine) { delete(l.machines["m0003"].images, "image") }, fits: true},
		"spread, the last of its zone":  {spec: with(func(s *wire.Job) { s.Spread, s.Tasks = true, 2 }), fits: true},
		"spread, another one there too": {spec: with(func(s *wire.Job) { s.Spread, s.Tasks = true, 2 }), change: func(l *leader, j *job, _ *balance.Machine) { placeAttempt(l, j, 1, l.machines["m0001"]) }},
		"one zone, and it is another":   {spec: with(func(s *wire.Job) { s.OneZone, s.Tasks = true, 2 }), change: otherZone},
		"restricted to another zone":    {spec: with(func(s *wire.Job) { s.Zone = "b" })},
		"another type":                  {spec: with(func(s *wire.Job) { s.Types = []string{"big"} })},
	} {
		_, l := spreadingLeader(t, 4)
		j := addRunningJob(l, c.spec, "m0000")
		l.machines["m0003"].snapshot = nil
		var to *balance.Machine
		prepare := func() balance.FleetSnapshot {
			fleet := l.spreading.fleetSnapshot(l.schedulerView(false))
			to = &fleet.Machines[3]
			return fleet
		}
		fleet := prepare()
		if c.change != nil {
			c.change(l, j, to)
			if name != "other moves fill it" {
				l.machines["m0003"].snapshot = nil
				fleet = prepare()
			}
		}
		task := j.attempts[0].movableTask(1)
		if fits := fleet.Fits(&task, to) && (task.OnlyImage == "" || fleet.HasImage(to, task.OnlyImage)); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
}

func onSpot(l *leader, _ *job, _ *balance.Machine) { l.machines["m0003"].spot = true }

func otherZone(l *leader, j *job, _ *balance.Machine) {
	placeAttempt(l, j, 1, l.machines["m0001"])
	l.machines["m0003"].zone = "b"
}

// Tasks that are being stopped do not count as load: a machine is not hot because of them.
func TestStoppedTasksDoNotCountAsLoad(t *testing.T) {
	_, l, jobs := skewedLeader(t)
	for _, j := range jobs[:2] {
		l.stop(j.attempts[0], 0)
	}
	for _, m := range l.spreading.fleetSnapshot(l.schedulerView(false)).Machines {
		if want := map[string]float64{"m0000": 0.5}[m.ID]; m.Share() != want {
			t.Errorf("%s has a share of %v, want %v", m.ID, m.Share(), want)
		}
	}
}

// Where idle machines are kept, none is released for being idle, and none is emptied. No machines are requested for a
// task that has reserved room.
func TestKeepIdleMachines(t *testing.T) {
	for _, keep := range []bool{true, false} {
		c, l, _ := skewedLeader(t)
		c.op.Spreading.KeepIdle = keep
		advance(l, 30*time.Minute)
		l.autoscaler.scaleIn()
		released := 0
		for _, m := range l.machinesByName {
			if m.releasing {
				released++
			}
		}
		if (released == 0) != keep {
			t.Errorf("idle machines are kept is %v: %d are released", keep, released)
		}
		l.autoscaler.consolidatedAt = time.Time{}
		l.autoscaler.consolidate()
		if ran := !l.autoscaler.consolidatedAt.IsZero(); ran == keep {
			t.Errorf("idle machines are kept is %v: consolidation ran is %v", keep, ran)
		}
	}
	c, l, _ := skewedLeader(t)
	e := runUntilPlanned(l)[0]
	c.op.Spreading.KeepIdle, l.autoscaler.consolidatedAt = false, time.Time{}
	if l.autoscaler.consolidate(); !l.autoscaler.consolidatedAt.IsZero() {
		t.Error("machines are emptied while a move is active")
	}
	l.removeAttempt(l.jobs[e.Job].attempts[0], reduction.Reset, proofAbsent)
	for _, d := range l.autoscaler.backlog() {
		if d.Job == e.Job && len(d.Tasks) > 0 {
			t.Errorf("machines are requested for tasks %v of %s", d.Tasks, d.Job)
		}
	}
}

// Where nothing can be moved, nothing is written. Machines that are suspected to be faulty are neither sources nor
// destinations.
func TestNothingToMove(t *testing.T) {
	c, l, jobs := skewedLeader(t)
	l.spreading.record.until = time.Time{}
	for _, j := range jobs {
		j.avoidedMachines["m0001"], j.avoidedMachines["m0002"], j.avoidedMachines["m0003"] = true, true, true
	}
	l.spreading.run()
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn {
			t.Errorf("unexpected write: %+v", call.Txn)
		}
	}
	// Two jobs failed on this machine and succeeded elsewhere, so the machine is suspected.
	for _, j := range jobs[:2] {
		l.machines["m0001"].failedJobs[j.id] = true
		j.failureClass.RecordSuccess()
	}
	l.machines["m0001"].snapshot = nil
	for _, m := range l.spreading.fleetSnapshot(l.schedulerView(false)).Machines {
		if m.ID == "m0001" {
			t.Error("a faulty machine is in the fleet state")
		}
	}
}

// The status shows why the tasks of each hot machine stay, which teams and images are concentrated on hot
// machines, and the active moves.
func TestSpreadStatus(t *testing.T) {
	c, l, jobs := skewedLeader(t)
	addRunningJob(l, wire.Job{ID: "req-000009", Kind: wire.KindArray}, "m0001")
	for _, m := range []string{"m0001", "m0002", "m0003"} {
		delete(l.machines[m].images, "image")
	}
	jobs[0].attempts[0].runningSince = l.c.now
	ask := func() balance.Status {
		c.out = nil
		c.spreadStatus(SpreadStatusRequest{Req: 4})
		return c.out[0].(Answer).Body.(balance.Status)
	}
	s := ask()
	want := []balance.ReasonCount{{Reason: balance.RecentlyStarted, Tasks: 1}, {Reason: balance.NoDestination, Tasks: 3}}
	if m := s.Machines[0]; !s.Leading || m.ID != "m0000" || !m.Hot || m.Movable != 0 || fmt.Sprint(m.Staying) != fmt.Sprint(want) {
		t.Errorf("%+v", s.Machines)
	}
	if len(s.Teams) != 1 || s.Teams[0].OnOne != 0.8 || len(s.Images) != 1 || s.Images[0].Tasks != 5 {
		t.Errorf("%+v, %+v", s.Teams, s.Images)
	}
	l.machines["m0003"].images["image"] = true
	moves := runUntilPlanned(l)
	if s = ask(); len(moves) != 1 || len(s.Moves) != 1 || s.Moves[0].To != moves[0].To || s.Counts.Started != 1 {
		t.Errorf("moves %+v, status shows %+v", moves, s.Moves)
	}
	c.lead = nil
	if s = ask(); s.Leading || len(s.Machines) > 0 {
		t.Errorf("a controller that does not lead answers %+v", s)
	}
}
