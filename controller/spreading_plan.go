package controller

import (
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// When moves may start, and the state of the fleet that they are planned from.

// Intervals and thresholds of planning.
const (
	planInterval          = time.Second
	emptyPlanPause        = 4 * time.Second  // added to the interval after a plan without moves
	headroomPause         = 10 * time.Second // after a plan whose moves would have taken headroom
	lateRenewalDivisor    = 2                // a renewal is late after the time to live of the leader's lease divided by this
	freeBackgroundDivisor = 2                // the burst of background writes divided by this must be free
)

// plan starts the moves that are worth their cost, unless moves are blocked.
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
	fleet := s.fleetState(machines)
	others, listed := s.stoppedByEarlierLeaders(), len(fleet.Machines)
	allowance := s.tracker.Allowance(s.c.now, listed, others)
	if allowance.Moves == 0 || !s.anyHot(&fleet) {
		return
	}
	s.listMovableTasks(&fleet)
	moves := balance.Plan(fleet, *s.settings(), allowance)
	if len(moves) == 0 {
		s.plannedAt = s.c.now.Add(emptyPlanPause)
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

// allReported reports whether this leader has listened for as long as workers take to find it, and every machine with
// attempts has reported to it.
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

// stoppedByEarlierLeaders counts the tasks that an earlier leader has stopped: it may have been moving them.
func (s *spreading) stoppedByEarlierLeaders() int {
	count := 0
	for _, m := range s.machinesByName {
		for _, a := range m.attemptsInOrder {
			if a.stoppedByEarlierLeader() {
				count++
			}
		}
	}
	return count
}

// fleetMachine is a machine as it was when the state of the fleet was taken.
type fleetMachine struct {
	*scheduler.Machine
	used scheduler.Resources
}

// fleetState is the machines that count, without their tasks. Tasks that are being stopped do not count as load;
// reserved room does.
func (s *spreading) fleetState(machines []*scheduler.Machine) balance.FleetSnapshot {
	byID := make(map[string]fleetMachine, len(machines))
	p := balance.FleetSnapshot{Machines: make([]balance.Machine, 0, len(machines))}
	for _, m := range machines {
		empty := m.Free == m.Cap
		if m.Penalty > 0 || empty && !s.settings().KeepIdle {
			continue
		}
		used := m.Cap.Add(m.Free, -1).Add(m.Releasing, -1)
		byID[m.ID] = fleetMachine{m, used}
		p.Machines = append(p.Machines, balance.Machine{ID: m.ID, Size: s.c.measure.Of(m.Cap), Cap: m.Cap, Used: used})
	}
	p.HasImage = func(m *balance.Machine, image string) bool { return byID[m.ID].Images[image] }
	demands := map[balance.TaskID]*scheduler.Demand{}
	p.Fits = func(t *balance.Task, to *balance.Machine) bool {
		d := demands[t.TaskID]
		if d == nil {
			d = s.demandOfMove(t.TaskID)
			demands[t.TaskID] = d
		}
		m := *byID[to.ID].Machine
		m.Free = m.Free.Add(to.Used, -1).Add(byID[to.ID].used, 1) // other moves of the plan may go there
		return m.Spot == s.jobs[t.Job].attempts[t.Index].machine.spot && d.Fits(&m)
	}
	return p
}

// demandOfMove is what a running task requires of another machine.
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
func (s *spreading) anyHot(p *balance.FleetSnapshot) bool {
	hot := s.settings().HotShare(balance.NewDistribution(p.Machines).Mean)
	return slices.ContainsFunc(p.Machines, func(m balance.Machine) bool { return m.Share() > hot })
}

// listMovableTasks lists the tasks of hot machines that may be moved.
func (s *spreading) listMovableTasks(p *balance.FleetSnapshot) {
	hot := s.settings().HotShare(balance.NewDistribution(p.Machines).Mean)
	tolerances := newMoveTolerances(s)
	for i := range p.Machines {
		m := &p.Machines[i]
		if m.Share() <= hot {
			continue
		}
		for _, a := range s.machines[m.ID].attemptsInOrder {
			if reason, cost := tolerances.check(a); reason == balance.Movable {
				m.Tasks = append(m.Tasks, a.movableTask(cost))
			}
		}
	}
}

// movableTask describes an attempt's task, whose move costs the given seconds of its time.
func (a *attempt) movableTask(cost float64) balance.Task {
	t := balance.Task{TaskID: a.moveID(), Team: a.job.spec.Team, Resources: a.job.terms.TaskResources, Cost: cost}
	if a.job.spec.Kind == wire.KindService {
		t.OnlyImage = a.job.spec.Image
	}
	return t
}

// moveID identifies an attempt's task.
func (a *attempt) moveID() balance.TaskID { return balance.TaskID{Job: a.job.id, Index: a.task} }

// preserveHeadroom returns as many of the moves as leave all headroom its room: all, the best one, or none.
func (s *spreading) preserveHeadroom(machines []*scheduler.Machine, moves []balance.Move) []balance.Move {
	before := s.headroomPlaced(machines, nil)
	for _, some := range [][]balance.Move{moves, moves[:1]} {
		if s.headroomPlaced(machines, some) >= before {
			return some
		}
	}
	s.pausedUntil = s.c.now.Add(headroomPause)
	return nil
}

// headroomPlaced counts the headroom that has room while moves are active: room at their destinations is taken, and
// room at their sources is not free yet.
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
