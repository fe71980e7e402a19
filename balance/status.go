package balance

// StatusPath is where a controller's status endpoint tells of load spreading.
const StatusPath = "/spread"

// Status is what the leader tells operators.
type Status struct {
	Member  string `json:"member"`
	Leader  string `json:"leader,omitempty"` // who leads as far as this member knows
	Leading bool   `json:"leading"`          // whether the rest is known here

	Distribution Distribution    `json:"distribution"`
	HotShare     float64         `json:"hot_share"`
	Block        Block           `json:"block,omitempty"` // why no moves are begun at all
	Machines     []MachineStatus `json:"machines,omitempty"`
	Others       int             `json:"others"` // machines that are not listed: neither hot nor among the first
	Teams        []TeamStatus    `json:"teams,omitempty"`
	Images       []ImageStatus   `json:"images,omitempty"`
	Moves        []MoveStatus    `json:"moves,omitempty"`
	Counts       Counts          `json:"counts"`
}

// MachineStatus is a machine by its load, the hottest first.
type MachineStatus struct {
	ID      string        `json:"id"`
	Zone    string        `json:"zone"`
	Share   float64       `json:"share"` // dominant share, 0 to 1
	Hot     bool          `json:"hot"`
	Tasks   int           `json:"tasks"`
	Movable int           `json:"movable"`           // tasks that tolerate a move; counted of hot machines
	Staying []ReasonCount `json:"staying,omitempty"` // why the others don't move
}

// ReasonCount counts the tasks that stay for one reason.
type ReasonCount struct {
	Reason Reason `json:"reason"`
	Tasks  int    `json:"tasks"`
}

// MoveStatus is a move under way.
type MoveStatus struct {
	Job   string  `json:"job"`
	Task  int     `json:"task"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Phase Phase   `json:"phase"`
	Held  bool    `json:"held"` // room is held at the destination
	ForS  float64 `json:"for_s"`
}

// Leads reports whether the controller that answered leads.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader is who leads, as far as it knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy is the controller's name.
func (s Status) AnsweredBy() string { return s.Member }
