package balance

// StatusPath is where a controller's status endpoint tells of load spreading.
const StatusPath = "/spread"

// Status is what the leader tells operators.
type Status struct {
	Member  string `json:"member"`           // the controller that answers
	Leader  string `json:"leader,omitempty"` // who leads as far as this member knows
	Leading bool   `json:"leading"`          // whether the rest is known here

	Distribution Distribution    `json:"distribution"`       // of the shares of the machines that count
	HotShare     float64         `json:"hot_share"`          // the share above which a machine is hot
	Block        Block           `json:"block,omitempty"`    // why no moves are begun at all
	Machines     []MachineStatus `json:"machines,omitempty"` // the hottest first, up to a bound; Others counts the rest
	Others       int             `json:"others"`             // machines that are not listed: neither hot nor among the first
	Teams        []TeamStatus    `json:"teams,omitempty"`    // how each team's load lies on the machines
	Images       []ImageStatus   `json:"images,omitempty"`   // where images are
	Moves        []MoveStatus    `json:"moves,omitempty"`    // moves under way
	Counts       Counts          `json:"counts"`             // of the moves of this leader
}

// MachineStatus is a machine by its load, the hottest first.
type MachineStatus struct {
	ID      string        `json:"id"`                // the machine's name
	Zone    string        `json:"zone"`              // the zone that it is in
	Share   float64       `json:"share"`             // dominant share, 0 to 1
	Hot     bool          `json:"hot"`               // its share is above the hot share
	Tasks   int           `json:"tasks"`             // tasks on it
	Movable int           `json:"movable"`           // tasks that tolerate a move; counted of hot machines
	Staying []ReasonCount `json:"staying,omitempty"` // why the others don't move
}

// ReasonCount counts the tasks that stay for one reason.
type ReasonCount struct {
	Reason Reason `json:"reason"` // why they stay
	Tasks  int    `json:"tasks"`  // how many stay for it
}

// MoveStatus is a move under way.
type MoveStatus struct {
	Job   string  `json:"job"`   // the job's id
	Task  int     `json:"task"`  // the task's index in its job
	From  string  `json:"from"`  // the machine that it leaves
	To    string  `json:"to"`    // the machine that it goes to
	Phase Phase   `json:"phase"` // how far the move has come
	Held  bool    `json:"held"`  // room is held at the destination
	ForS  float64 `json:"for_s"` // seconds since it was begun
}

// Leads reports whether the controller that answered leads.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader is who leads, as far as it knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy is the controller's name.
func (s Status) AnsweredBy() string { return s.Member }
