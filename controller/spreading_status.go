package controller

import (
	"cmp"
	"net/http"
	"slices"

	"pumicefront/balance"
)

// The status of load spreading for operators.

// SpreadStatusRequest asks for the status of load spreading. The answer has the same Req and a balance.Status. It is
// made from memory alone, so it is available in any outage.
type SpreadStatusRequest struct{ Req uint64 }

// Bounds on the size of a status.
const (
	maxStatusMachines    = 200 // the hottest first
	maxStatusTeams       = 50
	maxStatusImages      = 50
	maxExplainedMachines = 20 // hot machines for which it is checked whether their tasks have a destination
)

// spreadStatus answers with what this controller knows: the whole status if it leads.
func (c *Core) spreadStatus(r SpreadStatusRequest) {
	status := balance.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.spreading != nil && c.hasAuthority() {
		l.spreading.describe(&status)
		status.Leading, status.Leader = true, c.cfg.Member
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: status})
}

// describe fills in what the leader knows.
func (s *spreading) describe(status *balance.Status) {
	fleet := s.fleetState(s.schedulerView(false))
	status.Distribution = balance.NewDistribution(fleet.Machines)
	status.HotShare = s.settings().HotShare(status.Distribution.Mean)
	status.Block, status.Counts = s.block, s.tracker.Counts()
	slices.SortStableFunc(fleet.Machines, func(a, b balance.Machine) int { return cmp.Compare(b.Share(), a.Share()) })
	listed := min(len(fleet.Machines), maxStatusMachines)
	status.Others = len(fleet.Machines) - listed
	tolerances := newMoveTolerances(s)
	for i := range fleet.Machines[:listed] {
		status.Machines = append(status.Machines, tolerances.describe(&fleet.Machines[i], status.HotShare, i < maxExplainedMachines))
	}
	s.explainStaying(status, fleet)
	s.survey(status, fleet.Machines)
	for _, e := range s.tracker.ActiveMoves() {
		status.Moves = append(status.Moves, balance.MoveStatus{Job: e.Job, Task: e.Index, From: e.From, To: e.To,
			Phase: e.Phase, Reserved: e.Reserved, ForS: s.c.now.Sub(e.StartedAt).Seconds()})
	}
}

// explainStaying counts the listed tasks that have no destination.
func (s *spreading) explainStaying(status *balance.Status, fleet balance.FleetSnapshot) {
	withoutDestination := balance.WithoutDestination(fleet, *s.settings())
	for i := range status.Machines {
		m := &status.Machines[i]
		if n := withoutDestination[m.ID]; n > 0 {
			m.Movable -= n
			m.Staying = append(m.Staying, balance.ReasonCount{Reason: balance.NoDestination, Tasks: n})
		}
	}
}

// survey adds how the tasks of teams are distributed over the machines, and which images only hot machines have.
func (s *spreading) survey(status *balance.Status, machines []balance.Machine) {
	survey := balance.NewSurvey()
	for i := range machines {
		m, hot := s.machines[machines[i].ID], machines[i].Share() > status.HotShare
		for image := range m.images {
			survey.AddImage(image, hot)
		}
		for _, a := range m.attemptsInOrder {
			survey.AddTask(m.id, hot, a.job.spec.Team, a.job.spec.Image, s.c.measure.Of(a.job.terms.TaskResources))
		}
	}
	teams, images := survey.Teams(), survey.HotImages()
	status.Teams = teams[:min(len(teams), maxStatusTeams)]
	status.Images = images[:min(len(images), maxStatusImages)]
}

// describe describes a machine and, if it is hot, counts why its tasks stay. With list, those that may move are listed
// in the machine for explainStaying.
func (t *moveTolerances) describe(m *balance.Machine, hot float64, list bool) balance.MachineStatus {
	known := t.machines[m.ID]
	status := balance.MachineStatus{ID: m.ID, Zone: known.zone, Share: m.Share(), Hot: m.Share() > hot, Tasks: len(known.attemptsInOrder)}
	if !status.Hot {
		return status
	}
	for _, a := range known.attemptsInOrder {
		reason, cost := t.check(a)
		if reason == balance.Movable {
			status.Movable++
			if list {
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
