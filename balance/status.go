package balance

// StatusPath is the path of the load spreading status on a controller's status endpoint.
const StatusPath = "/spread"

// Status is the state of load spreading that the leader reports to operators.
type Status struct {
	Member  string `json:"member"`           // the controller that answers
	Leader  string `json:"leader,omitempty"` // the leader, as far as this member knows
	Leading bool   `json:"leading"`          // whether this member leads; only the leader fills in the rest

	Distribution Distribution    `json:"distribution"`       // of the dominant shares of all machines that take part in load spreading
	HotShare     float64         `json:"hot_share"`          // the share above which a machine is hot
	Block        BlockReason     `json:"block,omitempty"`    // why no moves are started at all; empty: moves are not blocked
	Machines     []MachineStatus `json:"machines,omitempty"` // those with the largest shares, in descending order, up to a limit
	Others       int             `json:"others"`             // number of machines beyond that limit
	Teams        []TeamStatus    `json:"teams,omitempty"`    // how each team's load is distributed over the machines
	Images       []ImageStatus   `json:"images,omitempty"`   // images that only hot machines have
	Moves        []MoveStatus    `json:"moves,omitempty"`    // active moves
	Counts       Counts          `json:"counts"`             // numbers of moves since this leader was elected
}

// MachineStatus is the load of one machine.
type MachineStatus struct {
	ID      string        `json:"id"`                // the machine's ID
	Zone    string        `json:"zone"`              // the zone that it is in
	Share   float64       `json:"share"`             // dominant share, 0 to 1
	Hot     bool          `json:"hot"`               // its share exceeds the hot share
	Tasks   int           `json:"tasks"`             // tasks on it
	Movable int           `json:"movable"`           // tasks that may be moved; counted only on hot machines, and checked for a destination only on the hottest of them
	Staying []ReasonCount `json:"staying,omitempty"` // why the other tasks of a hot machine are not moved
}

// ReasonCount counts the tasks that stay for the same reason.
type ReasonCount struct {
	Reason Reason `json:"reason"` // why they stay
	Tasks  int    `json:"tasks"`  // number of tasks that stay for this reason
}

// MoveStatus is the status of an active move.
type MoveStatus struct {
	Job      string  `json:"job"`   // the job's id
	Task     int     `json:"task"`  // the task's index in its job
	From     string  `json:"from"`  // the machine that the task leaves
	To       string  `json:"to"`    // the machine that the task moves to
	Phase    Phase   `json:"phase"` // progress of the move
	Reserved bool    `json:"held"`  // room is reserved at the destination
	ForS     float64 `json:"for_s"` // seconds since the move started
}

// Leads reports whether the controller that answered is the leader. Leads, KnownLeader and AnsweredBy implement
// statusclient.Status, by which a client finds the leader.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader returns the leader, as far as the controller that answered knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy returns the name of the controller that answered.
func (s Status) AnsweredBy() string { return s.Member }
