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

// mostMachinesTold bounds the machines that a status lists, the hottest first.
const mostMachinesTold = 200

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
		status.Machines = append(status.Machines, tolerances.describe(&picture.Machines[i], status.HotShare))
	}
	for _, e := range s.ledger.Entries() {
		status.Moves = append(status.Moves, balance.MoveStatus{Job: e.Job, Task: e.Index, From: e.From, To: e.To,
			Phase: e.Phase, Held: e.Held, ForS: s.c.now.Sub(e.Began).Seconds()})
	}
}

// describe describes a machine, and of a hot one why its tasks stay.
func (t *tolerances) describe(m *balance.Machine, hot float64) balance.MachineStatus {
	known := t.machines[m.ID]
	status := balance.MachineStatus{ID: m.ID, Zone: known.zone, Share: m.Share(), Hot: m.Share() > hot, Tasks: len(known.list)}
	if !status.Hot {
		return status
	}
	for _, a := range known.list {
		why, _ := t.of(a)
		if why == balance.Movable {
			status.Movable++
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
