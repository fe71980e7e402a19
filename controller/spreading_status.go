package controller

import (
	"cmp"
	"net/http"
	"slices"

	"pumicefront/balance"
)

// What operators are told of load spreading.

// SpreadStatusRequest asks for the spread of load, to be answered with the same Req by a
// balance.Status. It needs nothing but memory, so it is answered in any outage.
type SpreadStatusRequest struct{ Req uint64 }

// Bounds on what a status tells.
const (
	mostMachinesTold = 200 // the hottest first
	mostTeamsTold    = 50
	mostImagesTold   = 50
	mostExplained    = 20 // hot machines of which it is found out where their tasks could go
)

// spreadStatus answers with what this controller knows: all of it if it leads.
func (c *Core) spreadStatus(r SpreadStatusRequest) {
	status := balance.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.spreading != nil && c.entitled() {
		l.spreading.describe(&status)
		status.Leading, status.Leader = true, c.cfg.Member
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: status})
}

// describe fills in what the leader knows.
func (s *spreading) describe(status *balance.Status) {
	picture := s.picture(s.view(false))
	status.Distribution = balance.Distribute(picture.Machines)
	status.HotShare = s.settings().HotShare(status.Distribution.Mean)
	status.Block, status.Counts = s.block, s.ledger.Counts()
	slices.SortStableFunc(picture.Machines, func(a, b balance.Machine) int { return cmp.Compare(b.Share(), a.Share()) })
	told := min(len(picture.Machines), mostMachinesTold)
	status.Others = len(picture.Machines) - told
	tolerances := newTolerances(s)
	for i := range picture.Machines[:told] {
		status.Machines = append(status.Machines, tolerances.describe(&picture.Machines[i], status.HotShare, i < mostExplained))
	}
	s.explain(status, picture)
	s.survey(status, picture.Machines)
	for _, e := range s.ledger.Entries() {
		status.Moves = append(status.Moves, balance.MoveStatus{Job: e.Job, Task: e.Index, From: e.From, To: e.To,
			Phase: e.Phase, Held: e.Held, ForS: s.c.now.Sub(e.Began).Seconds()})
	}
}

// explain finds out which of the listed tasks have nowhere to go.
func (s *spreading) explain(status *balance.Status, picture balance.Picture) {
	stay := balance.WithoutDestination(picture, *s.settings())
	for i := range status.Machines {
		m := &status.Machines[i]
		if n := stay[m.ID]; n > 0 {
			m.Movable -= n
			m.Staying = append(m.Staying, balance.ReasonCount{Reason: balance.NoDestination, Tasks: n})
		}
	}
}

// survey tells how teams lie on the machines, and which images only hot machines have.
func (s *spreading) survey(status *balance.Status, machines []balance.Machine) {
	survey := balance.NewSurvey()
	for i := range machines {
		m, hot := s.machines[machines[i].ID], machines[i].Share() > status.HotShare
		for image := range m.images {
			survey.AddImage(image, hot)
		}
		for _, a := range m.list {
			survey.AddTask(m.id, hot, a.job.spec.Team, a.job.spec.Image, s.c.measure.Of(a.job.terms.Each))
		}
	}
	teams, images := survey.Teams(), survey.HotImages()
	status.Teams = teams[:min(len(teams), mostTeamsTold)]
	status.Images = images[:min(len(images), mostImagesTold)]
}

// describe describes a machine, and of a hot one why its tasks stay; those that may move are listed in
// it if they are to be explained.
func (t *tolerances) describe(m *balance.Machine, hot float64, list bool) balance.MachineStatus {
	known := t.machines[m.ID]
	status := balance.MachineStatus{ID: m.ID, Zone: known.zone, Share: m.Share(), Hot: m.Share() > hot, Tasks: len(known.list)}
	if !status.Hot {
		return status
	}
	for _, a := range known.list {
		why, cost := t.of(a)
		if why == balance.Movable {
			status.Movable++
			if list {
				m.Tasks = append(m.Tasks, a.movableTask(cost))
			}
			continue
		}
		i := slices.IndexFunc(status.Staying, func(c balance.ReasonCount) bool { return c.Reason == why })
		if i < 0 {
			i = len(status.Staying)
			status.Staying = append(status.Staying, balance.ReasonCount{Reason: why})
		}
		status.Staying[i].Tasks++
	}
	return status
}
