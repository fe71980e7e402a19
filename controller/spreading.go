package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Load spreading: the leader's part of package balance. A move is an ordinary stop followed by an ordinary placement:
// nothing here proves that an attempt has ended, and reserved room is only room that other tasks don't get.

// spreading is the leader's part of load spreading; nil unless operators have enabled it.
type spreading struct {
	*leader
	tracker     *balance.MoveTracker
	record      movesRecordState
	plannedAt   time.Time
	sweptAt     time.Time
	pausedUntil time.Time           // no plan before then: the last one would have taken headroom
	block       balance.BlockReason // what prevented the last plan, if anything
}

// MoveChanged reports a step of a move.
type MoveChanged struct {
	balance.Change
	Term uint64 // of the leader: its token when it was elected
	At   time.Time
}

func newSpreading(l *leader) *spreading {
	if l.c.op.Spreading == nil {
		return nil
	}
	return &spreading{leader: l, tracker: balance.NewMoveTracker(l.c.op.Spreading.Settings, l.c.now)}
}

func (s *spreading) settings() *balance.Settings { return &s.c.op.Spreading.Settings }

// keepsIdleMachines reports whether operators keep idle machines for load to be spread over.
func (s *spreading) keepsIdleMachines() bool { return s != nil && s.settings().KeepIdle }

// run observes the active moves and starts new ones.
func (s *spreading) run() {
	if s == nil {
		return
	}
	s.observeMoves()
	s.plan()
}

// observeMoves updates the active moves from what is known of their tasks.
func (s *spreading) observeMoves() {
	if s.tracker.Len() == 0 {
		return
	}
	for _, e := range s.tracker.ActiveMoves() {
		if change, changed := s.tracker.Observe(s.c.now, e.TaskID, s.taskState(e)); changed {
			s.handleChange(change)
		}
	}
}

// taskState is what this leader knows of a task that is being moved.
func (s *spreading) taskState(e balance.ActiveMove) balance.Observation {
	j := s.jobs[e.Job]
	if j == nil {
		return balance.Observation{Completed: true}
	}
	to := s.machines[e.To]
	observation := balance.Observation{
		Cancelled: j.cancelled, Completed: j.state.Status(e.Index) == reduction.Completed,
		DestinationLost: to == nil || !s.usable(to),
	}
	if a := j.attempts[e.Index]; a != nil {
		observation.Active, observation.Attempt, observation.Machine, observation.Running = true, a.number, a.machine.id, a.phase >= attemptRunning
	}
	return observation
}

// handleChange logs and emits a step of a move, and schedules a placement round.
func (s *spreading) handleChange(change balance.Change) {
	if to := s.machines[change.To]; to != nil {
		to.snapshot = nil // the room reserved there may have changed
	}
	level := slog.LevelDebug
	if change.Outcome != "" || change.ReleaseReason != "" && change.ReleaseReason != balance.ReleasedMoveEnded {
		level = slog.LevelInfo
	}
	s.c.log(level, "move", "job", change.Job, "task", change.Index, "from", change.From, "to", change.To,
		"phase", change.Phase, "outcome", string(change.Outcome), "room_given_up", string(change.ReleaseReason), "after", s.c.now.Sub(change.StartedAt))
	s.c.emit(MoveChanged{change, s.electedToken, s.c.now})
	s.schedulePlacement()
}

// startMove reserves room for a task at its destination, and stops the attempt that is moved.
func (s *spreading) startMove(m balance.Move) {
	a := s.jobs[m.Job].attempts[m.Index]
	s.tracker.Start(s.c.now, m, a.number)
	entry, _ := s.tracker.ActiveMove(m.TaskID)
	s.handleChange(balance.Change{ActiveMove: entry})
	s.stop(a, saveGraceS(&a.job.spec))
}

// reservedResources is the room that is reserved on a machine.
func (s *spreading) reservedResources(machine string) scheduler.Resources {
	if s == nil || s.tracker.Len() == 0 {
		return scheduler.Resources{}
	}
	return s.tracker.ReservedOn(machine)
}

// imagesBeingFetched lists the images that a machine is fetching for active attempts.
func (s *spreading) imagesBeingFetched(m *machine) map[string]bool {
	if s == nil {
		return nil
	}
	var images map[string]bool
	for _, a := range m.attemptsInOrder() {
		if a.needsFetch && a.starting() {
			if images == nil {
				images = map[string]bool{}
			}
			images[a.job.spec.Image] = true
		}
	}
	return images
}

// setBalance makes the demands of a round be placed evenly.
func (s *spreading) setBalance(demands []*scheduler.Demand, machines []*scheduler.Machine) {
	if s == nil {
		return
	}
	b := &scheduler.Balance{HotShare: s.settings().HotShare(s.expectedShare(demands, machines)), UseEmpty: s.settings().KeepIdle}
	for _, d := range demands {
		d.Balance = b
		if d.OtherClasses == nil {
			d.OtherClasses = s.otherClasses(d.Class)
		}
	}
}

// expectedShare is the mean load share of the machines once all pending tasks are placed, at most 1.
func (s *spreading) expectedShare(demands []*scheduler.Demand, machines []*scheduler.Machine) float64 {
	all, used := 0.0, 0.0
	for _, m := range machines {
		if m.Free == m.Cap && !s.settings().KeepIdle {
			continue
		}
		all += s.c.measure.Of(m.Cap)
		used += s.c.measure.Of(m.Cap) - s.c.measure.Of(m.Free)
	}
	if all == 0 {
		return 0
	}
	for _, d := range demands {
		used += s.c.measure.Of(d.TaskResources) * float64(len(d.Tasks))
	}
	return min(used/all, 1)
}

// reserveTeamQuota adds to their teams' use the tasks that have reserved room, whose old attempt has ended, and
// that are not placed yet: other tasks of their team must not take their place within its limit.
func (s *spreading) reserveTeamQuota(used map[string]scheduler.Resources) {
	if s == nil {
		return
	}
	for _, e := range s.tracker.ActiveMoves() {
		if e.Phase == balance.Waiting && e.Reserved {
			used[e.Team] = used[e.Team].Add(e.Resources, 1)
		}
	}
}

// placeReserved places the tasks of a demand for which room is reserved.
func (s *spreading) placeReserved(machines []*scheduler.Machine, d *scheduler.Demand, used map[string]scheduler.Resources) {
	if s == nil || s.tracker.Len() == 0 {
		return
	}
	for _, task := range slices.Clone(d.Tasks) {
		e, moving := s.tracker.ActiveMove(balance.TaskID{Job: d.Job, Index: task})
		if !moving || !e.Reserved {
			continue
		}
		used[e.Team] = used[e.Team].Add(e.Resources, -1)
		p, placed := s.placeInReservation(machines, d, e, s.roomInTeam(d, used))
		if !placed {
			s.releaseReservation(e.TaskID, balance.ReleasedDestinationLost)
			continue
		}
		s.assign(d, []scheduler.Assignment{p})
		used[e.Team] = used[e.Team].Add(e.Resources, 1)
		d.Tasks = slices.DeleteFunc(slices.Clone(d.Tasks), func(t int) bool { return t == task })
	}
	s.observeMoves()
}

// placeInReservation places a task in the room reserved for it. In either case that room counts as free again on its
// machine.
func (s *spreading) placeInReservation(machines []*scheduler.Machine, d *scheduler.Demand, e balance.ActiveMove, roomInTeam int) (scheduler.Assignment, bool) {
	i := slices.IndexFunc(machines, func(m *scheduler.Machine) bool { return m.ID == e.To })
	if i < 0 {
		return scheduler.Assignment{}, false
	}
	machines[i].Free = machines[i].Free.Add(e.Resources, 1)
	if roomInTeam == 0 {
		return scheduler.Assignment{}, false
	}
	return scheduler.PlaceOn(machines[i], d, e.Index)
}

// releaseReservation releases the room that is reserved for a task.
func (s *spreading) releaseReservation(id balance.TaskID, reason balance.ReleaseReason) {
	if change, changed := s.tracker.ReleaseReservation(id, reason); changed {
		s.handleChange(change)
	}
}

// preemptReserved releases reserved room where that lets tasks of an urgent demand fit, until the missing tasks have
// room, and reports whether any got room.
func (s *spreading) preemptReserved(machines []*scheduler.Machine, d *scheduler.Demand, missing int) bool {
	if s == nil || s.tracker.Len() == 0 || !d.Service && d.Rank > 0 && !d.WithinGuarantee {
		return false
	}
	room := 0
	for _, m := range machines {
		if room >= missing {
			break
		}
		free := m.Free
		m.Free = free.Add(s.tracker.ReservedOn(m.ID), 1)
		if m.Free == free || !d.Fits(m) {
			m.Free = free
			continue
		}
		for _, e := range s.tracker.ActiveMoves() {
			if e.Reserved && e.To == m.ID {
				s.releaseReservation(e.TaskID, balance.ReleasedForUrgent)
			}
		}
		room += m.Free.Fits(d.TaskResources)
	}
	return room > 0
}

// withoutReserved removes the tasks for which room is reserved: no machines need to be requested for them.
func (s *spreading) withoutReserved(demands []*scheduler.Demand) []*scheduler.Demand {
	if s == nil || s.tracker.Len() == 0 {
		return demands
	}
	for _, d := range demands {
		d.Tasks = slices.DeleteFunc(d.Tasks, func(task int) bool {
			e, moving := s.tracker.ActiveMove(balance.TaskID{Job: d.Job, Index: task})
			return moving && e.Reserved
		})
	}
	return demands
}

// moving reports whether any move is active.
func (s *spreading) moving() bool { return s != nil && s.tracker.Len() > 0 }

// sweep removes outdated entries from the tracker, at most once a minute.
func (s *spreading) sweep() {
	if s.c.now.Sub(s.sweptAt) >= time.Minute {
		s.sweptAt = s.c.now
		s.tracker.Sweep(s.c.now)
	}
}

// stoppedByEarlierLeader reports whether an attempt saves its checkpoint although this leader has not stopped it: then
// an earlier leader has.
func (a *attempt) stoppedByEarlierLeader() bool { return a.savingCheckpoint && !a.stopping }

// allReplicasRunning reports whether all tasks of a service run, and none of them is being stopped.
func (j *job) allReplicasRunning() bool {
	if j.spec.Kind != wire.KindService || len(j.attempts) < j.spec.Tasks {
		return false
	}
	for _, a := range j.attempts {
		if a.phase < attemptRunning || a.stopping || a.savingCheckpoint {
			return false
		}
	}
	return true
}
