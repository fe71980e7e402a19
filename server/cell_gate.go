package server

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/cells"
	"pumicefront/config"
)

// What other cells may ask of this one: a cell that floods must turn away neither users nor the
// other cells.

// Bounds on the calls of one cell. It asks every two seconds, at most twice a second when much changes.
const (
	cellCallsPerSecond = 10
	cellCallsAtOnce    = 20
	cellQueuePerPeer   = 8  // calls that wait for the core, for each cell; operators' requests share them
	cellConnections    = 16 // open at once, for each cell
)

// cellGate bounds the calls of each cell that the settings name.
type cellGate struct {
	limiters map[cells.Cell]*rate.Limiter
}

func newCellGate(settings *config.Cell) *cellGate {
	g := &cellGate{limiters: map[cells.Cell]*rate.Limiter{}}
	for _, p := range settings.Peers {
		g.limiters[cells.Cell(p.Name)] = rate.NewLimiter(cellCallsPerSecond, cellCallsAtOnce)
	}
	return g
}

// known reports whether a cell may call at all.
func (g *cellGate) known(cell cells.Cell) bool { return g.limiters[cell] != nil }

// admits reports whether a call of a known cell is within its bounds, and counts it.
func (g *cellGate) admits(cell cells.Cell, now time.Time) bool {
	return g.limiters[cell].AllowN(now, 1)
}
