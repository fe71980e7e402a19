package balance

// Allowance is how many moves may be begun now. Of one job it is never more than one at a time: of a
// service no two replicas are away at once.
type Allowance struct {
	Moves  int             // moves that may be begun in all
	InTeam int             // moves that a team may have under way
	Teams  map[string]int  // moves under way, by team
	Jobs   map[string]bool // jobs with a move under way
}

// allows reports whether a task may be moved within what is allowed.
func (a *Allowance) allows(t *Task) bool {
	return a.Moves > 0 && !a.Jobs[t.Job] && a.Teams[t.Team] < a.InTeam
}

// take counts a move.
func (a *Allowance) take(t *Task) {
	a.Moves--
	a.Teams[t.Team]++
	a.Jobs[t.Job] = true
}
