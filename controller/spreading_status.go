package controller

import (
	"cmp"
	"net/http"
	"slices"

	"pumicefront/balance"
)

// The status of load spreading for operators.

// SpreadStatusRequest asks for the status of load spreading. The answer has the same Req and a balance.Status. It is
// made from memory alone, so it is available while the state service, the cloud or other controllers are not.
type SpreadStatusRequest struct{ Req uint64 }

// Bounds on the size of a status.
const (
	maxStatusMachines    = 200 // the machines with the highest shares are listed, the others only counted
	maxStatusTeams       = 50
	maxStatusImages      = 50
	maxDestinationChecks = 20 // hot machines whose movable tasks are checked for a destination, the hottest first
)

// spreadStatus answers a request for the status. A controller that does not lead names only itself and the leader that
// it knows of.
func (c *Core) spreadStatus(r SpreadStatusRequest) {
	status := balance.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.spreading != nil && c.hasAuthority() {
		l.spreading.fillStatus(&status)
		status.Leading, status.Leader = true, c.cfg.Member
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: status})
}

// fillStatus fills in the parts of the status that only the leader knows: distribution, hot share, block reason, counts,
// machines, teams, images and active moves.
func (s *spreading) fillStatus(status *balance.Status) {
	fleet := s.fleetSnapshot(s.schedulerView(false))
	status.Distribution = balance.NewDistribution(fleet.Machines)
	status.HotShare = s.settings().HotShare(status.Distribution.Mean)
	status.Block, status.Counts = s.block, s.tracker.Counts()
	slices.SortStableFunc(fleet.Machines, func(a, b balance.Machine) int { return cmp.Compare(b.Share(), a.Share()) })
	listed := min(len(fleet.Machines), maxStatusMachines)
	status.Others = len(fleet.Machines) - listed
	tolerances := newMoveTolerances(s)
	for i := range fleet.Machines[:listed] {
		status.Machines = append(status.Machines, tolerances.machineStatus(&fleet.Machines[i], status.HotShare, i < maxDestinationChecks))
	}
	s.countWithoutDestination(status, fleet)
	s.surveyTeamsAndImages(status, fleet.Machines)
	for _, e := range s.tracker.ActiveMoves() {
		status.Moves = append(status.Moves, balance.MoveStatus{Job: e.Job, Task: e.Index, From: e.From, To: e.To,
			Phase: e.Phase, Reserved: e.Reserved, ForS: s.c.now.Sub(e.StartedAt).Seconds()})
	}
}

// countWithoutDestination counts the tasks that have no destination among those that stay on their machine instead of among
// the movable ones. It checks only the tasks that machineStatus has added to the fleet snapshot.
func (s *spreading) countWithoutDestination(status *balance.Status, fleet balance.FleetSnapshot) {
	withoutDestination := balance.WithoutDestination(fleet, *s.settings())
	for i := range status.Machines {
		m := &status.Machines[i]
		if n := withoutDestination[m.ID]; n > 0 {
			m.Movable -= n
			m.Staying = append(m.Staying, balance.ReasonCount{Reason: balance.NoDestination, Tasks: n})
		}
	}
}

// surveyTeamsAndImages adds to the status how the tasks of teams are distributed over the machines, and which images only
// hot machines have.
func (s *spreading) surveyTeamsAndImages(status *balance.Status, machines []balance.Machine) {
	survey := balance.NewSurvey()
	for i := range machines {
		m, hot := s.machines[machines[i].ID], machines[i].Share() > status.HotShare
		for image := range m.images {
			survey.AddImage(image, hot)
		}
		for _, a := range m.attemptsInOrder() {
			survey.AddTask(m.id, hot, a.job.spec.Team, a.job.spec.Image, s.c.measure.Of(a.job.terms.TaskResources))
		}
	}
	teams, images := survey.Teams(), survey.HotImages()
	status.Teams = teams[:min(len(teams), maxStatusTeams)]
	status.Images = images[:min(len(images), maxStatusImages)]
}

// machineStatus returns the status of a machine and, if it is hot, counts its tasks that may be moved and those that must
// stay, by reason. If listMovable is set, it also adds the tasks that may be moved to m.Tasks, from which
// countWithoutDestination finds those without a destination.
func (t *moveTolerances) machineStatus(m *balance.Machine, hotShare float64, listMovable bool) balance.MachineStatus {
	machine := t.machines[m.ID]
	status := balance.MachineStatus{ID: m.ID, Zone: machine.zone, Share: m.Share(), Hot: m.Share() > hotShare, Tasks: len(machine.attemptsInOrder())}
	if !status.Hot {
		return status
	}
	for _, a := range machine.attemptsInOrder() {
		reason, cost := t.check(a)
		if reason == balance.Movable {
			status.Movable++
			if listMovable {
				m.Tasks = append(m.Tasks, a.movableTask(cost))
			}
			continue
		}
		i := slices.IndexFunc(status.Staying, func(c balance.ReasonCount) bool { return c.Reason == reason })
		if i < 0 {
			i = len(status.Staying)
			status.Staying = append(status.Staying, balance.ReasonCount{Reason: reason})
		}
		status.Staying[i].Tasks++
	}
	return status
}
