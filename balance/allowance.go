package balance

// Allowance limits the moves that may be started now. A job never has more than one active move, so that
// no two replicas of a service are down at once.
type Allowance struct {
	Moves      int             // moves that may be started in all
	MaxPerTeam int             // active moves that one team may have
	Teams      map[string]int  // active moves, by team
	Jobs       map[string]bool // jobs with an active move
}

// allows reports whether the limits permit a move of a task.
func (a *Allowance) allows(t *Task) bool {
	return a.Moves > 0 && !a.Jobs[t.Job] && a.Teams[t.Team] < a.MaxPerTeam
}

// record counts a move against the limits.
func (a *Allowance) record(t *Task) {
	a.Moves--
	a.Teams[t.Team]++
	a.Jobs[t.Job] = true
}
