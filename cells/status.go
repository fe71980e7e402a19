package cells

// Paths of a controller's listener for other cells and for operators.
const (
	MessagesPath = "/cells/messages"
	StatusPath   = "/cells"
	GonePath     = "/cells/gone"
)

// Status is what the leader tells operators of the other cells.
type Status struct {
	Member  string       `json:"member"`
	Leader  string       `json:"leader,omitempty"` // who leads as far as this member knows
	Leading bool         `json:"leading"`          // whether the rest is known here
	Cell    Cell         `json:"cell,omitempty"`
	Ready   bool         `json:"ready"` // every controller of the cell knows that jobs go from cell to cell
	Lends   float64      `json:"lends"` // cores that are lent still
	Links   []LinkStatus `json:"links,omitempty"`
	Out     []TeamStatus `json:"out,omitempty"`
	In      []TeamStatus `json:"in,omitempty"`
}

// LinkStatus is the way to another cell.
type LinkStatus struct {
	Cell        Cell    `json:"cell"`
	AnsweredS   float64 `json:"answered_s"` // ago; negative: it has not answered this leader
	Failures    int     `json:"failures"`   // calls in a row without an answer
	Room        float64 `json:"room"`       // in cores, that it lent when it answered
	Granted     int     `json:"granted"`    // jobs
	OldestEpoch Epoch   `json:"oldest_epoch,omitempty"`
	GoneEpoch   Epoch   `json:"gone_epoch,omitempty"` // declared gone up to here
	GoneBy      string  `json:"gone_by,omitempty"`
}

// TeamStatus counts a team's jobs.
type TeamStatus struct {
	Team  string `json:"team"`
	Jobs  int    `json:"jobs"`
	Tasks int    `json:"tasks"`
}

// Leads reports whether the controller that answered leads.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader is who leads, as far as it knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy is the controller's name.
func (s Status) AnsweredBy() string { return s.Member }
