package controller

import (
	"maps"
	"net/http"
	"slices"

	"pumicefront/cells"
)

// CellStatusRequest asks for the state of the links to other cells. It is answered by an Answer with the same Req
// and a cells.Status as its body.
type CellStatusRequest struct{ Req uint64 }

// cellStatus answers an operator's status request. The answer always contains the names of this controller and of
// the leader as it knows it. The rest is filled in only by a leader that has recovered the records, has spillover
// enabled and may act now.
func (c *Core) cellStatus(r CellStatusRequest) {
	s := cells.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.spillover != nil && c.hasAuthority() {
		s.Leading, s.Leader, s.Cell, s.Ready, s.Lends = true, c.cfg.Member, l.spillover.self(), l.spillover.ready(), l.spillover.availableCores()
		s.Links, s.Out, s.In = l.spillover.linkStatus(), l.spillover.teamStatus(outbound), l.spillover.teamStatus(inbound)
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: s})
}

// linkStatus describes the link to every other cell, ordered by name.
func (s *spilloverManager) linkStatus() []cells.LinkStatus {
	var links []cells.LinkStatus
	open := s.openGrants()
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		link := s.links[name]
		status := cells.LinkStatus{Cell: name, Failures: link.failures, Room: link.availableCores, AnsweredS: -1} // -1: no answer yet
		if !link.lastReplyAt.IsZero() {
			status.AnsweredS = s.c.now.Sub(link.lastReplyAt).Seconds()
		}
		for _, r := range open {
			if r.Holder == name {
				status.Granted++
				if status.OldestEpoch == 0 { // open grants are sorted by epoch
					status.OldestEpoch = r.Epoch
				}
			}
		}
		if declaration, declared := s.c.watchCache.declaredGone[name]; declared {
			status.GoneEpoch, status.GoneBy = declaration.Epoch, declaration.By
		}
		links = append(links, status)
	}
	return links
}

// transferDirection is the direction of job transfers: jobs of this cell that are granted to other cells (outbound),
// or jobs of other cells that this cell has accepted (inbound).
type transferDirection bool

const (
	outbound transferDirection = true
	inbound  transferDirection = false
)

// teamStatus counts the transferred jobs in one direction, and their tasks, by team.
func (s *spilloverManager) teamStatus(direction transferDirection) []cells.TeamStatus {
	byTeam := map[string]*cells.TeamStatus{}
	for _, j := range s.jobsByAcceptance {
		if direction == outbound && j.grant == nil || direction == inbound && j.origin == nil {
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
	var teams []cells.TeamStatus
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		teams = append(teams, *byTeam[team])
	}
	return teams
}
