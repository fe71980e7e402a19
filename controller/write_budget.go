package controller

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// Shares of the changes that the state service takes in a second. Users and the
// leader seldom need many at the same time, and what one leaves the other can use:
// so together they may ask for more than there is, and try again when refused.
// What nobody waits for leaves room for both.
const (
	userShare       = 0.8
	leaderShare     = 0.85
	backgroundShare = 0.4
	burstShare      = 0.4 // of a second's changes, that may be made at once
)

// writeBurst is how many changes may be made at once.
func writeBurst(state config.State) int {
	return max(2, int(state.Tightest().WriteRPS*burstShare))
}

// writeBudget bounds the leader's changes in the state service. Background writes, which
// nobody waits for, have a smaller bound of their own besides.
type writeBudget struct {
	all, background *rate.Limiter
	pausedUntil     time.Time
}

// newWriteBudget returns a budget without a rate.
func newWriteBudget(burst int) writeBudget {
	return writeBudget{all: rate.NewLimiter(0, burst), background: rate.NewLimiter(0, burst)}
}

// setRate spends shares of the changes that the state service takes in a second.
func (b *writeBudget) setRate(now time.Time, changes float64) {
	b.all.SetLimitAt(now, rate.Limit(changes*leaderShare))
	b.background.SetLimitAt(now, rate.Limit(changes*backgroundShare))
}

// allows reports whether the budget has so many changes left.
func (b *writeBudget) allows(now time.Time, changes int, urgent bool) bool {
	has := func(l *rate.Limiter) bool { return l.TokensAt(now) >= float64(changes) }
	return has(b.all) && (urgent || has(b.background))
}

// spend takes changes off the budget.
func (b *writeBudget) spend(now time.Time, changes int, urgent bool) {
	b.all.AllowN(now, changes)
	if !urgent {
		b.background.AllowN(now, changes)
	}
}

// left is how many background changes can be made now.
func (b *writeBudget) left(now time.Time) int {
	return int(min(b.all.TokensAt(now), b.background.TokensAt(now)))
}

// burst is the most that is ever allowed at once.
func (b *writeBudget) burst() int { return b.all.Burst() }

// paused reports whether nothing is written for a moment.
func (b *writeBudget) paused(now time.Time) bool { return now.Before(b.pausedUntil) }
