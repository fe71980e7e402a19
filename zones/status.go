package zones

import "time"

// StatusPath is where the status endpoint of a controller tells of the zones.
const StatusPath = "/zones"

// Status is what the leader tells operators of all zones.
type Status struct {
	Member  string        `json:"member"`            // the controller that answers
	Leader  string        `json:"leader,omitempty"`  // who leads as far as this member knows
	Leading bool          `json:"leading"`           // whether the rest is known here
	Zones   []ZoneStatus  `json:"zones,omitempty"`   // every zone that is known
	Waiting []ClassStatus `json:"waiting,omitempty"` // what waits, by class of jobs
}

// ZoneStatus is one zone of it.
type ZoneStatus struct {
	Name       string  `json:"name"`                 // the zone's name
	State      State   `json:"state"`                // its state
	ForS       float64 `json:"for_s"`                // seconds that it has been in that state
	Responsive int     `json:"responsive"`           // machines that report in time
	Silent     int     `json:"silent"`               // machines whose reports are overdue
	Losses     int     `json:"losses"`               // since this leader began
	Penalty    float64 `json:"penalty"`              // losses, each halved every flap window; it lengthens the hold-down
	HeldForS   float64 `json:"held_for_s,omitempty"` // what is left of the hold-down
	Window     int     `json:"window,omitempty"`     // starts that may be under way at once, where they are limited
	UnderWay   int     `json:"under_way"`            // starts under way in the zone
	Fetching   int     `json:"fetching"`             // of those, the ones whose machine fetches the image
	Displaced  int     `json:"displaced"`            // tasks lost with the zone that don't run again yet
}

// ClassStatus is what waits of one class of jobs, and for what.
type ClassStatus struct {
	Class     string `json:"class"`                // the class of jobs
	Tasks     int    `json:"tasks"`                // its tasks that wait
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
