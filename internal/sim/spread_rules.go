package sim

import (
	"time"

	"pumicefront/balance"
	"pumicefront/controller"
)

// The rules on moves: their bounds over time and in flight.

// begun lists when moves were begun.
func (r *spreadRun) begun() []controller.MoveChanged {
	var all []controller.MoveChanged
	for _, m := range r.w.moves {
		if m.Began.Equal(m.At) && m.Outcome == "" {
			all = append(all, m)
		}
	}
	return all
}

// checkBounds checks the bounds on moves over time and in flight, over all leaders together.
func (r *spreadRun) checkBounds() {
	s := r.w.op.Spreading.Settings
	const window = 30 * time.Second
	perSecond := s.MovesPerMinute * float64(r.machines) / 100 / 60
	most := int(perSecond*(window.Seconds()+5)) + 1 // what is saved up in five seconds beside
	begun := r.begun()
	for i, m := range begun {
		within := 0
		for _, later := range begun[i:] {
			if later.At.Sub(m.At) < window {
				within++
			}
		}
		if within > most {
			r.w.broken("moves", "%d begin within %v, %d at most", within, window, most)
			return
		}
	}
	for term, moves := range r.terms() {
		inFlight, inTeam := map[balance.TaskID]bool{}, map[string]int{}
		for _, m := range moves {
			switch {
			case m.Outcome != "":
				inTeam[m.Team]--
				delete(inFlight, m.TaskID)
			case !inFlight[m.TaskID]:
				inFlight[m.TaskID] = true
				inTeam[m.Team]++
			}
			if len(inFlight) > 4 || inTeam[m.Team] > 2 {
				r.w.broken("moves", "%d are in flight in term %d, %d of team %s", len(inFlight), term, inTeam[m.Team], m.Team)
				return
			}
		}
	}
}

// terms are the steps of moves by the leader's term.
func (r *spreadRun) terms() map[uint64][]controller.MoveChanged {
	byTerm := map[uint64][]controller.MoveChanged{}
	for _, m := range r.w.moves {
		byTerm[m.Term] = append(byTerm[m.Term], m)
	}
	return byTerm
}

// movedTwiceWithin counts the tasks that were moved again within a time.
func (r *spreadRun) movedTwiceWithin(d time.Duration) int {
	last, count := map[balance.TaskID]time.Time{}, 0
	for _, m := range r.begun() {
		if at, before := last[m.TaskID]; before && m.At.Sub(at) < d {
			count++
		}
		last[m.TaskID] = m.At
	}
	return count
}
