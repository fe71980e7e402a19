package controller

import (
	"maps"
	"net/http"
	"slices"

	"pumicefront/cells"
)

// CellStatusRequest asks for the state of the links to other cells, to be answered with the same
// Req by a cells.Status.
type CellStatusRequest struct{ Req uint64 }

// cellStatus answers with what this controller knows: all of it if it leads.
func (c *Core) cellStatus(r CellStatusRequest) {
	s := cells.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.cells != nil && c.entitled() {
		s.Leading, s.Leader, s.Cell, s.Ready, s.Lends = true, c.cfg.Member, l.cells.self(), l.cells.ready(), l.cells.lends()
		s.Links, s.Out, s.In = l.cells.linkStatus(), l.cells.teams(out), l.cells.teams(in)
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: s})
}

// linkStatus describes the way to every other cell.
func (s *cellSide) linkStatus() []cells.LinkStatus {
	var all []cells.LinkStatus
	open := s.openGrants()
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		link := s.links[name]
		status := cells.LinkStatus{Cell: name, Failures: link.failures, Room: link.room, AnsweredS: -1}
		if !link.answered.IsZero() {
			status.AnsweredS = s.c.now.Sub(link.answered).Seconds()
		}
		for _, r := range open {
			if r.Holder == name {
				status.Granted++
				if status.OldestEpoch == 0 { // they come oldest first
					status.OldestEpoch = r.Epoch
				}
			}
		}
		if gone, is := s.c.control.gone[name]; is {
			status.GoneEpoch, status.GoneBy = gone.Epoch, gone.By
		}
		all = append(all, status)
	}
	return all
}

// direction is which way jobs went.
type direction bool

const (
	out direction = true
	in  direction = false
)

// teams counts the jobs that are elsewhere, or that are here for others, by team.
func (s *cellSide) teams(way direction) []cells.TeamStatus {
	byTeam := map[string]*cells.TeamStatus{}
	for _, j := range s.order {
		if way == out && j.grant == nil || way == in && j.origin == nil {
			continue
		}
		t := byTeam[j.spec.Team]
		if t == nil {
			t = &cells.TeamStatus{Team: j.spec.Team}
			byTeam[j.spec.Team] = t
		}
		t.Jobs++
		t.Tasks += j.spec.Tasks
	}
	var all []cells.TeamStatus
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		all = append(all, *byTeam[team])
	}
	return all
}
