package controller

import (
	"maps"
	"net/http"
	"slices"

	"pumicefront/scheduler"
	"pumicefront/zones"
)

// What operators are told of the zones.

// ZoneStatusRequest asks for the state of all zones, to be answered with the same Req by a
// zones.Status. It needs nothing but memory, so it is answered in any outage.
type ZoneStatusRequest struct{ Req uint64 }

// zoneStatus answers with what this controller knows: all of it if it leads.
func (c *Core) zoneStatus(r ZoneStatusRequest) {
	s := zones.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.zones != nil && c.entitled() {
		s.Leading, s.Leader = true, c.cfg.Member
		s.Zones, s.Waiting = l.zones.status(), l.zones.classes()
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: s})
}

// status describes every zone.
func (z *zoneRecovery) status() []zones.ZoneStatus {
	displaced := map[string]int{}
	for _, lost := range z.displaced {
		displaced[lost.zone]++
	}
	seen := map[string]zones.Health{}
	for _, h := range z.look {
		seen[h.Zone] = h
	}
	var all []zones.ZoneStatus
	for _, name := range z.tracker.Names() {
		s := z.tracker.Status(name, z.c.now)
		started := z.underWay(name)
		s.Responsive, s.Silent, s.Displaced = seen[name].Responsive, seen[name].Silent, displaced[name]
		s.UnderWay = started.starts
		for _, n := range started.fetches {
			s.Fetching += n
		}
		all = append(all, s)
	}
	return all
}

// classes describes what waits of each class, and for what: its team's limit, a zone that takes
// nothing more now, or room.
func (z *zoneRecovery) classes() []zones.ClassStatus {
	byClass := map[string]*zones.ClassStatus{}
	used := z.teamUse()
	machines := z.view(false)
	for _, d := range z.demands() {
		s := byClass[d.Class]
		if s == nil {
			s = &zones.ClassStatus{Class: d.Class}
			byClass[d.Class] = s
		}
		d.RoomInTeam = z.roomInTeam(d, used)
		allowed := min(len(d.Tasks), d.RoomInTeam)
		used[d.Team] = used[d.Team].Add(d.Each, float64(allowed))
		ramp := 0
		if z.recovering() {
			ramp = len(scheduler.Place(machines, d)) // what has room and is not placed is held back
		}
		s.Tasks += len(d.Tasks)
		s.TeamLimit += len(d.Tasks) - allowed
		s.Ramp += ramp
		s.Room += allowed - ramp
	}
	var all []zones.ClassStatus
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		all = append(all, *byClass[class])
	}
	return all
}
