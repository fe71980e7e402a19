package zones

import "time"

// StatusPath is where the status endpoint of a controller tells of the zones.
const StatusPath = "/zones"

// Status is what the leader tells operators of all zones.
type Status struct {
	Member  string        `json:"member"`
	Leader  string        `json:"leader,omitempty"` // who leads as far as this member knows
	Leading bool          `json:"leading"`          // whether the rest is known here
	Zones   []ZoneStatus  `json:"zones,omitempty"`
	Waiting []ClassStatus `json:"waiting,omitempty"`
}

// ZoneStatus is one zone of it.
type ZoneStatus struct {
	Name       string  `json:"name"`
	State      State   `json:"state"`
	ForS       float64 `json:"for_s"`
	Responsive int     `json:"responsive"`
	Silent     int     `json:"silent"`
	Losses     int     `json:"losses"` // since this leader began
	Penalty    float64 `json:"penalty"`
	HeldForS   float64 `json:"held_for_s,omitempty"` // what is left of the hold-down
	Window     int     `json:"window,omitempty"`
	UnderWay   int     `json:"under_way"`
	Fetching   int     `json:"fetching"`
	Displaced  int     `json:"displaced"` // tasks lost with the zone that don't run again yet
}

// ClassStatus is what waits of one class of jobs, and for what.
type ClassStatus struct {
	Class     string `json:"class"`
	Tasks     int    `json:"tasks"`
	TeamLimit int    `json:"team_limit,omitempty"` // wait for their team's limit
	Ramp      int    `json:"ramp,omitempty"`       // wait for a zone that is held down or returns
	Room      int    `json:"room,omitempty"`       // wait for room
}

// Status returns what is known of a zone; the caller adds what it counts itself.
func (t *Tracker) Status(name string, now time.Time) ZoneStatus {
	s := ZoneStatus{Name: name}
	z := t.zones[name]
	if z == nil {
		return s
	}
	z.decay(now, t.settings.FlapWindow)
	s.State, s.ForS, s.Losses, s.Penalty = z.state, now.Sub(z.since).Seconds(), z.losses, z.penalty
	if z.limited() {
		s.Window = z.window.size
	}
	if z.state == HeldDown {
		s.HeldForS = max(z.heldUntil.Sub(now).Seconds(), 0)
	}
	return s
}

// Leads reports whether the controller that answered leads.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader is who leads, as far as it knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy is the controller's name.
func (s Status) AnsweredBy() string { return s.Member }
