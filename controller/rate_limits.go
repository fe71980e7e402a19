package controller

import (
	"log/slog"
	"net/http"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// Rate limits of the state service: the current ones, and lower upcoming ones that take effect at an
// unannounced time.

// refusalsToLowerRate is the net number of rate limit refusals, with three accepted transactions
// offsetting one refusal, after which the upcoming rate limit is assumed to be in effect. Some
// refusals occur at any time, since the controllers' budgets add up to more than the limit.
const refusalsToLowerRate = 12

// observeRateLimit detects from the statuses of transactions that the upcoming limits have taken
// effect, which is not announced.
func (c *Core) observeRateLimit(status int) {
	switch {
	case c.rateLimitLowered:
		return
	case status == http.StatusTooManyRequests:
		c.rateRefusals += 3
	case status == http.StatusOK:
		c.rateRefusals = max(c.rateRefusals-1, 0)
	}
	if c.rateRefusals >= 3*refusalsToLowerRate && c.cfg.Facts.State.UpcomingLimits() != c.cfg.Facts.State.Limits {
		c.lowerRateLimit()
	}
}

// lowerRateLimit adapts the write budgets to the upcoming limits.
func (c *Core) lowerRateLimit() {
	c.rateLimitLowered = true
	c.writes.SetLimitAt(c.now, c.userWriteRate())
	if c.lead != nil {
		c.lead.budget.setRate(c.now, c.writeRate())
	}
	c.log(slog.LevelInfo, "the state service has its coming limits", "changes", c.writeRate())
}

// writeRate returns how many changes per second the state service accepts.
func (c *Core) writeRate() float64 {
	if c.rateLimitLowered {
		return c.cfg.Facts.State.MinLimits().WriteRPS
	}
	return c.cfg.Facts.State.WriteRPS
}

// Shares of the state service's request rate limit that are used for reads on behalf of users. They
// leave room for watches, lease renewals and writes.
const (
	readShare      = 0.6
	readBurstShare = 0.3 // burst, as a share of the requests per second
)

// readLimiter returns the limiter of one controller's reads for users. It applies the tighter of the
// current and the upcoming limit from the start: it is unknown when the upcoming one takes effect,
// and a refused read leaves a user request unanswered.
func readLimiter(state config.State, share float64) *rate.Limiter {
	requests := state.MinLimits().RPS * share
	return rate.NewLimiter(rate.Limit(requests*readShare), max(2, int(requests*readBurstShare)))
}

// userWriteRate returns the rate of changes that each controller may make for users.
func (c *Core) userWriteRate() rate.Limit {
	return rate.Limit(c.writeRate() * userShare / float64(len(c.cfg.Others)+1))
}
