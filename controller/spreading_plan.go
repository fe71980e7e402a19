package controller

import (
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The conditions for starting moves, and the snapshot of the fleet from which they are planned.

// Intervals and thresholds of planning.
const (
	planInterval          = time.Second
	emptyPlanPause        = 4 * time.Second  // added to the interval after a plan without moves
	headroomPause         = 10 * time.Second // no moves for this time after a plan whose moves would have taken headroom
	lateRenewalDivisor    = 2                // a renewal is late after the time to live of the leader's lease divided by this
	freeBackgroundDivisor = 2                // the burst of background writes divided by this must be free
)

// plan starts the moves that balance.Plan chooses, unless moves are blocked. It runs at most once per planInterval, and
// emptyPlanPause later than that after a plan without moves.
func (s *spreading) plan() {
	if s.c.now.Sub(s.plannedAt) < planInterval {
		return
	}
	s.plannedAt = s.c.now
	s.sweep()
	if s.block = s.moveBlock(); s.block != balance.NotBlocked {
		return
	}
	machines := s.schedulerView(false)
	fleet := s.fleetSnapshot(machines)
	untrackedMoves, listed := s.stoppedByEarlierLeaders(), len(fleet.Machines)
	allowance := s.tracker.Allowance(s.c.now, listed, untrackedMoves)
	if allowance.Moves == 0 || !s.anyHot(&fleet) {
		return
	}
	s.listMovableTasks(&fleet)
	moves := balance.Plan(fleet, *s.settings(), allowance)
	if len(moves) == 0 {
		s.plannedAt = s.c.now.Add(emptyPlanPause) // in the future, which delays the next plan
		return
	}
	if !s.ensureMovesRecord() {
		return
	}
	moves = s.preserveHeadroom(machines, moves)
	for _, m := range moves {
		s.startMove(m)
	}
}

// moveBlock returns why no move may start now.
func (s *spreading) moveBlock() balance.BlockReason {
	switch {
	case !s.c.now.Before(s.authority) || s.c.now.Sub(s.renewed) > s.c.op.LeaderLeaseTTL()/lateRenewalDivisor:
		return balance.NoLease
	case !s.allReported():
		return balance.MachinesNotReported
	case s.partitions.any():
		return balance.NetworkFault
	case s.zones.recovering():
		return balance.ZoneRecovering
	case s.c.now.Before(s.pausedUntil):
		return balance.HeadroomShort
	case s.workWaiting():
		return balance.WorkPending
	case s.budget.available(s.c.now)*freeBackgroundDivisor < s.budget.burst():
		return balance.WriteBudgetShort
	}
	return balance.NotBlocked
}

// allReported reports whether every machine with attempts has reported to this leader, and workers have had the time to do
// so: more than reconnectTimeout since its election, and more than one heartbeat interval since it last began to listen.
func (s *spreading) allReported() bool {
	now := s.c.now
	if now.Sub(s.elected) <= s.reconnectTimeout() || now.Sub(s.failureDetector.listening.startedAt) <= s.failureDetector.heartbeatDue(time.Second) {
		return false
	}
	return !slices.ContainsFunc(s.machinesByName, func(m *machine) bool { return len(m.attempts) > 0 && !m.up })
}

// workWaiting reports whether tasks wait to be placed, apart from those that are being moved and those that wait because
// of their own team's limit.
func (s *spreading) workWaiting() bool {
	used := s.teamUse()
	return slices.ContainsFunc(s.demands(), func(d *scheduler.Demand) bool {
		waits := slices.ContainsFunc(d.Tasks, func(task int) bool {
			_, moving := s.tracker.ActiveMove(balance.TaskID{Job: d.Job, Index: task})
			return !moving
		})
		return waits && s.roomInTeam(d, used) > 0
	})
}

// stoppedByEarlierLeaders counts the tasks that an earlier leader has stopped. Each may be part of a move of that leader,
// which this leader's tracker does not contain.
func (s *spreading) stoppedByEarlierLeaders() int {
	count := 0
	for _, m := range s.machinesByName {
		for _, a := range m.attemptsInOrder() {
			if a.stoppedByEarlierLeader() {
				count++
			}
		}
	}
	return count
}

// fleetMachine is the scheduler's view of a machine and its used resources when the fleet snapshot was taken. Used of the
// snapshot's own machines changes while moves are planned.
type fleetMachine struct {
	*scheduler.Machine
	used scheduler.Resources
}

// fleetSnapshot returns a snapshot of the machines that take part in load spreading, without their tasks. Machines that are
// suspected faulty do not take part, and empty ones only if KeepIdle is set. Resources of tasks that are being stopped do
// not count as used; reserved resources do.
func (s *spreading) fleetSnapshot(machines []*scheduler.Machine) balance.FleetSnapshot {
	byID := make(map[string]fleetMachine, len(machines))
	fleet := balance.FleetSnapshot{Machines: make([]balance.Machine, 0, len(machines))}
	for _, m := range machines {
		empty := m.Free == m.Cap
		if m.Penalty > 0 || empty && !s.settings().KeepIdle {
			continue
		}
		used := m.Cap.Add(m.Free, -1).Add(m.Releasing, -1)
		byID[m.ID] = fleetMachine{m, used}
		fleet.Machines = append(fleet.Machines, balance.Machine{ID: m.ID, Size: s.c.measure.Of(m.Cap), Cap: m.Cap, Used: used})
	}
	fleet.HasImage = func(m *balance.Machine, image string) bool { return byID[m.ID].Images[image] }
	demands := map[balance.TaskID]*scheduler.Demand{}
	fleet.Fits = func(t *balance.Task, to *balance.Machine) bool {
		d := demands[t.TaskID]
		if d == nil {
			d = s.demandOfMove(t.TaskID)
			demands[t.TaskID] = d
		}
		m := *byID[to.ID].Machine
		m.Free = m.Free.Add(to.Used, -1).Add(byID[to.ID].used, 1) // minus what other moves of the plan have added to to.Used
		return m.Spot == s.jobs[t.Job].attempts[t.Index].machine.spot && d.Fits(&m)
	}
	return fleet
}

// demandOfMove returns the demand for placing a running task on another machine. RoomInTeam is 1, since the task already
// counts towards its team's limit.
func (s *spreading) demandOfMove(id balance.TaskID) *scheduler.Demand {
	j := s.jobs[id.Job]
	d := s.c.demandOf(&j.spec)
	d.Avoid, d.RoomInTeam, d.CachedOnly = j.avoidedMachines, 1, d.Service
	for task, a := range j.attempts {
		if task != id.Index {
			d.InZone[a.machine.zone]++
		}
	}
	return d
}

// anyHot reports whether any machine is hot.
func (s *spreading) anyHot(fleet *balance.FleetSnapshot) bool {
	hotShare := s.settings().HotShare(balance.NewDistribution(fleet.Machines).Mean)
	return slices.ContainsFunc(fleet.Machines, func(m balance.Machine) bool { return m.Share() > hotShare })
}

// listMovableTasks lists the tasks of hot machines that may be moved.
func (s *spreading) listMovableTasks(fleet *balance.FleetSnapshot) {
	hotShare := s.settings().HotShare(balance.NewDistribution(fleet.Machines).Mean)
	tolerances := newMoveTolerances(s)
	for i := range fleet.Machines {
		m := &fleet.Machines[i]
		if m.Share() <= hotShare {
			continue
		}
		for _, a := range s.machines[m.ID].attemptsInOrder() {
			if reason, cost := tolerances.check(a); reason == balance.Movable {
				m.Tasks = append(m.Tasks, a.movableTask(cost))
			}
		}
	}
}

// movableTask returns an attempt's task for balance.Plan. costS is the time in seconds that the task loses by a move.
func (a *attempt) movableTask(costS float64) balance.Task {
	t := balance.Task{TaskID: a.balanceTaskID(), Team: a.job.spec.Team, Resources: a.job.terms.TaskResources, Cost: costS}
	if a.job.spec.Kind == wire.KindService {
		t.OnlyImage = a.job.spec.Image
	}
	return t
}

// balanceTaskID returns the ID by which package balance identifies an attempt's task.
func (a *attempt) balanceTaskID() balance.TaskID { return balance.TaskID{Job: a.job.id, Index: a.task} }

// preserveHeadroom returns all moves if as many headroom tasks can be placed with them as without, else the first and best
// move if that is so for it alone, else none. After none, further moves are blocked for headroomPause.
func (s *spreading) preserveHeadroom(machines []*scheduler.Machine, moves []balance.Move) []balance.Move {
	before := s.headroomPlaced(machines, nil)
	for _, subset := range [][]balance.Move{moves, moves[:1]} {
		if s.headroomPlaced(machines, subset) >= before {
			return subset
		}
	}
	s.pausedUntil = s.c.now.Add(headroomPause)
	return nil
}

// headroomPlaced counts the tasks of the headroom demands that can be placed while the given moves are active: their
// resources are already taken at the destinations and not yet free at the sources.
func (s *spreading) headroomPlaced(machines []*scheduler.Machine, moves []balance.Move) int {
	taken := map[string]scheduler.Resources{}
	for _, m := range moves {
		taken[m.To] = taken[m.To].Add(m.Resources, 1)
	}
	copies := make([]*scheduler.Machine, len(machines))
	for i, m := range machines {
		c := *m
		c.Free = c.Free.Add(taken[c.ID], -1)
		copies[i] = &c
	}
	placed := 0
	for _, d := range s.autoscaler.headroom() {
		placed += len(scheduler.Place(copies, d))
	}
	return placed
}
