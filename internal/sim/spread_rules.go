package sim

import (
	"time"

	"pumicefront/balance"
	"pumicefront/controller"
)

// Checks of the limits on moves: their rate, and the number of active moves.

// startedMoves lists the first step of every move.
func (r *spreadRun) startedMoves() []controller.MoveChanged {
	var all []controller.MoveChanged
	for _, m := range r.w.moves {
		if m.StartedAt.Equal(m.At) && m.Outcome == "" {
			all = append(all, m)
		}
	}
	return all
}

// checkMoveLimits checks the limit on the rate of moves, over all leaders together, and for the term of
// each leader the limits on active moves: 4 in all and 2 of one team.
func (r *spreadRun) checkMoveLimits() {
	s := r.w.op.Spreading.Settings
	const window = 30 * time.Second
	perSecond := s.MovesPerMinute * float64(r.machines) / 100 / 60
	limit := int(perSecond*(window.Seconds()+5)) + 1 // the 5 s stand for unused budget that has accumulated before the window
	started := r.startedMoves()
	for i, m := range started {
		within := 0
		for _, later := range started[i:] {
			if later.At.Sub(m.At) < window {
				within++
			}
		}
		if within > limit {
			r.w.recordViolation("moves", "%d moves start within %v, at most %d may", within, window, limit)
			return
		}
	}
	for term, moves := range r.movesByTerm() {
		active, inTeam := map[balance.TaskID]bool{}, map[string]int{}
		for _, m := range moves {
			switch {
			case m.Outcome != "":
				inTeam[m.Team]--
				delete(active, m.TaskID)
			case !active[m.TaskID]:
				active[m.TaskID] = true
				inTeam[m.Team]++
			}
			if len(active) > 4 || inTeam[m.Team] > 2 {
				r.w.recordViolation("moves", "%d moves are in flight in term %d, %d of team %s", len(active), term, inTeam[m.Team], m.Team)
				return
			}
		}
	}
}

// movesByTerm returns the steps of all moves by the term of the leader.
func (r *spreadRun) movesByTerm() map[uint64][]controller.MoveChanged {
	byTerm := map[uint64][]controller.MoveChanged{}
	for _, m := range r.w.moves {
		byTerm[m.Term] = append(byTerm[m.Term], m)
	}
	return byTerm
}

// movedTwiceWithin counts the moves that start less than d after the previous move of the same task.
func (r *spreadRun) movedTwiceWithin(d time.Duration) int {
	last, count := map[balance.TaskID]time.Time{}, 0
	for _, m := range r.startedMoves() {
		if at, before := last[m.TaskID]; before && m.At.Sub(at) < d {
			count++
		}
		last[m.TaskID] = m.At
	}
	return count
}
