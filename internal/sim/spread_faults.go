package sim

import (
	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/controller"
)

// Runs in which load is spread, and what is noted of the moves.

// setSpreading has controllers that start from now on spread load.
func (w *World) setSpreading(change func(*balance.Settings)) {
	settings := balance.DefaultSettings()
	if change != nil {
		change(&settings)
	}
	w.op.Spreading = &config.LoadSpreading{Settings: settings}
}

// noteMove notes a step of a move.
func (w *World) noteMove(n *node, m controller.MoveChanged) {
	w.moves = append(w.moves, m)
	w.coverage["a move is "+m.Phase.String()]++
	if m.Outcome != "" {
		w.coverage["a move ends: "+string(m.Outcome)]++
	}
	if m.Loss != "" && m.Loss != balance.LossOver {
		w.coverage["held room is given up: "+string(m.Loss)]++
	}
	if w.onMove != nil {
		w.onMove(n, m)
	}
}
