package server

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/cells"
	"pumicefront/config"
)

// Limits on the calls from other cells: a cell that sends too many calls must not cause requests of users
// or of other cells to be rejected.

// Limits on the calls of one cell. A cell normally calls every two seconds, and at most twice a second
// when much changes.
const (
	cellCallsPerSecond = 10
	cellCallBurst      = 20
	queuedCallsPerCell = 8  // queue slots per cell for calls that wait for the core; shared with operators' requests
	connectionsPerCell = 16 // open connections per cell
)

// cellRateLimiter limits the call rate of each cell that is configured as a peer.
type cellRateLimiter struct {
	limiters map[cells.Cell]*rate.Limiter
}

func newCellRateLimiter(settings *config.Cell) *cellRateLimiter {
	l := &cellRateLimiter{limiters: map[cells.Cell]*rate.Limiter{}}
	for _, p := range settings.Peers {
		l.limiters[cells.Cell(p.Name)] = rate.NewLimiter(cellCallsPerSecond, cellCallBurst)
	}
	return l
}

// isPeer reports whether a cell is configured as a peer; other cells may not call.
func (l *cellRateLimiter) isPeer(cell cells.Cell) bool { return l.limiters[cell] != nil }

// allow reports whether a peer's call is within its rate limit, and counts the call against the limit.
func (l *cellRateLimiter) allow(cell cells.Cell, now time.Time) bool {
	return l.limiters[cell].AllowN(now, 1)
}
