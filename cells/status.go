package cells

// Paths on a controller's listener for other cells and for operators.
const (
	MessagesPath = "/cells/messages" // POST: messages from other cells, as package celllink encodes them
	StatusPath   = "/cells"          // GET: the Status for operators
	GonePath     = "/cells/gone"     // POST: operators declare that a cell is gone
)

// Status is the state of the links to other cells that the leader reports to operators.
type Status struct {
	Member  string       `json:"member"`           // the controller that answers
	Leader  string       `json:"leader,omitempty"` // the leader, as far as this member knows
	Leading bool         `json:"leading"`          // whether this member leads; only the leader fills in the rest
	Cell    Cell         `json:"cell,omitempty"`   // this cell
	Ready   bool         `json:"ready"`            // every controller of the cell runs a version that supports transfers between cells
	Lends   float64      `json:"lends"`            // cores that can still be lent
	Links   []LinkStatus `json:"links,omitempty"`  // one for each other cell, sorted by name
	Out     []TeamStatus `json:"out,omitempty"`    // jobs of this cell granted to others, by team
	In      []TeamStatus `json:"in,omitempty"`     // jobs of other cells that may run in this cell, by team
}

// LinkStatus is the state of the link to another cell.
type LinkStatus struct {
	Cell        Cell    `json:"cell"`                   // the other cell
	AnsweredS   float64 `json:"answered_s"`             // seconds since its last answer; negative if it has not answered this leader
	Failures    int     `json:"failures"`               // consecutive calls without an answer
	Room        float64 `json:"room"`                   // cores that it could lend at its last answer
	Granted     int     `json:"granted"`                // number of jobs granted to it
	OldestEpoch Epoch   `json:"oldest_epoch,omitempty"` // epoch of the oldest open grant to it
	GoneEpoch   Epoch   `json:"gone_epoch,omitempty"`   // the cell was declared gone for grants up to this epoch
	GoneBy      string  `json:"gone_by,omitempty"`      // the operator who declared it gone
}

// TeamStatus counts a team's jobs.
type TeamStatus struct {
	Team  string `json:"team"`  // the team's name
	Jobs  int    `json:"jobs"`  // number of the team's jobs
	Tasks int    `json:"tasks"` // number of tasks of those jobs
}

// Leads reports whether the controller that answered is the leader.
func (s Status) Leads() bool { return s.Leading }

// KnownLeader returns the leader, as far as the controller that answered knows.
func (s Status) KnownLeader() string { return s.Leader }

// AnsweredBy returns the name of the controller that answered.
func (s Status) AnsweredBy() string { return s.Member }
