package cells

// Paths of a controller's listener for other cells and for operators.
const (
	MessagesPath = "/cells/messages" // POST: messages from other cells, as package celllink writes them
	StatusPath   = "/cells"          // GET: a Status for operators
	GonePath     = "/cells/gone"     // POST: operators declare a cell gone
)

// Status is what the leader tells operators of the other cells.
type Status struct {
	Member  string       `json:"member"`           // the controller that answers
	Leader  string       `json:"leader,omitempty"` // who leads as far as this member knows
	Leading bool         `json:"leading"`          // whether the rest is known here
	Cell    Cell         `json:"cell,omitempty"`   // this cell
	Ready   bool         `json:"ready"`            // every controller of the cell knows that jobs go from cell to cell
	Lends   float64      `json:"lends"`            // cores that are lent still
	Links   []LinkStatus `json:"links,omitempty"`  // one for each other cell, by name
	Out     []TeamStatus `json:"out,omitempty"`    // jobs of this cell granted to others, by team
	In      []TeamStatus `json:"in,omitempty"`     // jobs of other cells that may run here, by team
}

// LinkStatus is the way to another cell.
type LinkStatus struct {
	Cell        Cell    `json:"cell"`                   // the other cell
	AnsweredS   float64 `json:"answered_s"`             // ago; negative: it has not answered this leader
	Failures    int     `json:"failures"`               // calls in a row without an answer
	Room        float64 `json:"room"`                   // in cores, that it lent when it answered
	Granted     int     `json:"granted"`                // jobs
	OldestEpoch Epoch   `json:"oldest_epoch,omitempty"` // of the oldest grant to it that is still open
	GoneEpoch   Epoch   `json:"gone_epoch,omitempty"`   // declared gone up to here
	GoneBy      string  `json:"gone_by,omitempty"`      // who vouched that it is gone
}

// TeamStatus counts a team's jobs.
type TeamStatus struct {
	Team  string `json:"team"`  // the team's name
	Jobs  int    `json:"jobs"`  // how many of its jobs
	Tasks int    `json:"tasks"` // all tasks of those jobs
}

// Leads reports whether the controller that answered leads.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader is who leads, as far as it knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy is the controller's name.
func (s Status) AnsweredBy() string { return s.Member }
