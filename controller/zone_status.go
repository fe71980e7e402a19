package controller

import (
	"maps"
	"net/http"
	"slices"

	"pumicefront/scheduler"
	"pumicefront/zones"
)

// The zone status that operators can query.

// ZoneStatusRequest requests the state of all zones. The answer has the same Req and a zones.Status as
// its body. It is computed from memory alone, so that it is available in any outage.
type ZoneStatusRequest struct{ Req uint64 }

// zoneStatus answers a ZoneStatusRequest. Only a leader with authority answers with the states of the
// zones; other controllers answer with the leader's name.
func (c *Core) zoneStatus(r ZoneStatusRequest) {
	s := zones.Status{Member: c.cfg.Member, Leader: c.leaderName()}
	if l := c.lead; l != nil && l.recovered && l.zones != nil && c.hasAuthority() {
		s.Leading, s.Leader = true, c.cfg.Member
		s.Zones, s.Waiting = l.zones.zoneStatuses(), l.zones.classStatuses()
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: s})
}

// zoneStatuses returns the status of every zone.
func (z *zoneRecovery) zoneStatuses() []zones.ZoneStatus {
	displaced := map[string]int{}
	for _, lost := range z.displaced {
		displaced[lost.zone]++
	}
	seen := map[string]zones.Health{}
	for _, h := range z.lastHealth {
		seen[h.Zone] = h
	}
	var all []zones.ZoneStatus
	for _, name := range z.tracker.Names() {
		s := z.tracker.Status(name, z.c.now)
		started := z.countStartsInProgress(name)
		s.Responsive, s.Silent, s.Displaced = seen[name].Responsive, seen[name].Silent, displaced[name]
		s.StartsInProgress = started.starts
		for _, n := range started.fetches {
			s.Fetching += n
		}
		all = append(all, s)
	}
	return all
}

// classStatuses returns for each class the number of waiting tasks, by what they wait for: the limit
// of their team, the limits on starts while zones recover, or room on machines.
func (z *zoneRecovery) classStatuses() []zones.ClassStatus {
	byClass := map[string]*zones.ClassStatus{}
	used := z.teamUse()
	machines := z.schedulerView(false)
	for _, d := range z.demands() {
		s := byClass[d.Class]
		if s == nil {
			s = &zones.ClassStatus{Class: d.Class}
			byClass[d.Class] = s
		}
		d.RoomInTeam = z.roomInTeam(d, used)
		allowed := min(len(d.Tasks), d.RoomInTeam)
		used[d.Team] = used[d.Team].Add(d.TaskResources, float64(allowed))
		throttled := 0
		if z.recovering() {
			throttled = len(scheduler.Place(machines, d)) // tasks that have room and are not placed: their starts are throttled
		}
		s.Tasks += len(d.Tasks) + d.Unlisted
		s.TeamLimit += len(d.Tasks) + d.Unlisted - allowed
		s.ZoneLimit += throttled
		s.Room += allowed - throttled
	}
	var all []zones.ClassStatus
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		all = append(all, *byClass[class])
	}
	return all
}
