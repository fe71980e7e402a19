package controller

import (
	"log/slog"
	"net/http"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// The rate of changes that the state service takes, now and from an unannounced moment on.

// refusalsToLower is how many changes must be refused for the rate, more than are taken
// meanwhile, before the coming rate is taken to hold. Budgets add up to more than the
// rate, so that some are refused at any time.
const refusalsToLower = 12

// observeRateLimit learns from what becomes of transactions that the limits have become those
// that are to come, which nobody announces.
func (c *Core) observeRateLimit(status int) {
	switch {
	case c.ratesLowered:
		return
	case status == http.StatusTooManyRequests:
		c.rateRefusals += 3
	case status == http.StatusOK:
		c.rateRefusals = max(c.rateRefusals-1, 0)
	}
	if c.rateRefusals >= 3*refusalsToLower && c.cfg.Facts.State.Coming() != c.cfg.Facts.State.Limits {
		c.lowerRates()
	}
}

// lowerRates goes over to the coming limits.
func (c *Core) lowerRates() {
	c.ratesLowered = true
	c.writes.SetLimitAt(c.now, c.userRate())
	if c.lead != nil {
		c.lead.budget.setRate(c.now, c.writeRate())
	}
	c.log(slog.LevelInfo, "the state service has its coming limits", "changes", c.writeRate())
}

// writeRate is how many changes a second the state service takes.
func (c *Core) writeRate() float64 {
	if c.ratesLowered {
		return c.cfg.Facts.State.Tightest().WriteRPS
	}
	return c.cfg.Facts.State.WriteRPS
}

// Shares of the requests that the state service takes in a second, for reads on behalf of
// users. They leave room for watches, renewals and writes.
const (
	readShare      = 0.6
	readBurstShare = 0.3 // that may be made at once
)

// readLimiter bounds one controller's reads for users. It keeps to the tighter of the limits
// from the start: nothing tells when the coming one holds, and a refused read is a question
// unanswered.
func readLimiter(state config.State, share float64) *rate.Limiter {
	requests := state.Tightest().RPS * share
	return rate.NewLimiter(rate.Limit(requests*readShare), max(2, int(requests*readBurstShare)))
}

// userRate is what of that each controller spends on users.
func (c *Core) userRate() rate.Limit {
	return rate.Limit(c.writeRate() * userShare / float64(len(c.cfg.Others)+1))
}
