package controller

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// Shares of the state service's write rate limit, in changes per second. User requests and the
// leader seldom peak at the same time, and each may use what the other leaves unused. So the shares
// add up to more than 1, and refused writes are retried. Background writes leave room for both.
const (
	userShare       = 0.8
	leaderShare     = 0.85
	backgroundShare = 0.4
	burstShare      = 0.4 // burst, as a share of the changes per second
)

// writeBurst returns the maximum number of changes made at once.
func writeBurst(state config.State) int {
	return max(2, int(state.MinLimits().WriteRPS*burstShare))
}

// writeBudget limits the rate of the leader's changes in the state service. Background writes,
// which are not urgent, have an additional lower limit.
type writeBudget struct {
	all, background *rate.Limiter
	pausedUntil     time.Time
}

// newWriteBudget returns a budget with a rate of zero; see setRate.
func newWriteBudget(burst int) writeBudget {
	return writeBudget{all: rate.NewLimiter(0, burst), background: rate.NewLimiter(0, burst)}
}

// setRate sets the rates to the leader's shares of the changes per second that the state service
// accepts.
func (b *writeBudget) setRate(now time.Time, changes float64) {
	b.all.SetLimitAt(now, rate.Limit(changes*leaderShare))
	b.background.SetLimitAt(now, rate.Limit(changes*backgroundShare))
}

// allows reports whether the budget has the given number of changes left.
func (b *writeBudget) allows(now time.Time, changes int, urgent bool) bool {
	has := func(l *rate.Limiter) bool { return l.TokensAt(now) >= float64(changes) }
	return has(b.all) && (urgent || has(b.background))
}

// spend deducts changes from the budget.
func (b *writeBudget) spend(now time.Time, changes int, urgent bool) {
	b.all.AllowN(now, changes)
	if !urgent {
		b.background.AllowN(now, changes)
	}
}

// available returns how many background changes can be made now.
func (b *writeBudget) available(now time.Time) int {
	return int(min(b.all.TokensAt(now), b.background.TokensAt(now)))
}

// burst returns the maximum number of changes that are ever allowed at once.
func (b *writeBudget) burst() int { return b.all.Burst() }

// paused reports whether writes are paused.
func (b *writeBudget) paused(now time.Time) bool { return now.Before(b.pausedUntil) }
