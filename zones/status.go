package zones

import "time"

// StatusPath is the path of the zones' status on a controller's status endpoint.
const StatusPath = "/zones"

// Status is the state of all zones that the leader reports to operators.
type Status struct {
	Member  string        `json:"member"`            // the controller that answers
	Leader  string        `json:"leader,omitempty"`  // the leader, as far as this member knows
	Leading bool          `json:"leading"`           // whether this member leads; only the leader fills in the rest
	Zones   []ZoneStatus  `json:"zones,omitempty"`   // all known zones
	Waiting []ClassStatus `json:"waiting,omitempty"` // pending tasks by job class
}

// ZoneStatus is the state of one zone.
type ZoneStatus struct {
	Name             string  `json:"name"`                 // the zone's name
	State            State   `json:"state"`                // its state
	ForS             float64 `json:"for_s"`                // seconds since it entered that state
	Responsive       int     `json:"responsive"`           // machines that report in time
	Silent           int     `json:"silent"`               // machines whose reports are overdue
	Losses           int     `json:"losses"`               // number of losses since this leader was elected
	Penalty          float64 `json:"penalty"`              // number of losses, decaying by half every flap window; it lengthens the hold-down
	HeldForS         float64 `json:"held_for_s,omitempty"` // remaining hold-down in seconds
	Window           int     `json:"window,omitempty"`     // limit on the starts in progress at once; 0 if they are not limited
	StartsInProgress int     `json:"under_way"`            // starts in progress in the zone
	Fetching         int     `json:"fetching"`             // number of those whose machine fetches the image
	Displaced        int     `json:"displaced"`            // tasks lost with the zone that have not been restarted yet
}

// ClassStatus counts the pending tasks of one job class by what they wait for.
type ClassStatus struct {
	Class     string `json:"class"`                // the job class
	Tasks     int    `json:"tasks"`                // number of its pending tasks
	TeamLimit int    `json:"team_limit,omitempty"` // tasks that wait because of their team's limit
	ZoneLimit int    `json:"ramp,omitempty"`       // tasks that wait for a zone that is held down or returning
	Room      int    `json:"room,omitempty"`       // tasks that wait for free resources
}

// Status returns the tracker's part of a zone's status; the caller adds the machines and tasks that it counts.
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

// Leads reports whether the controller that answered is the leader.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader returns the leader, as far as the controller that answered knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy returns the name of the controller that answered.
func (s Status) AnsweredBy() string { return s.Member }
