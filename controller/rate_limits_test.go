package controller

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// The state service may lower its rate limits at an unannounced time. Reads for users observe the
// upcoming limit from the start; writes observe it once refusals show that it is in effect.
func TestUpcomingRateLimits(t *testing.T) {
	template, _, _ := newLeadingCore(t)
	cfg := *template.cfg
	requests, changes := 30.0, 12.0
	cfg.Facts.State.Next.RPS, cfg.Facts.State.Next.WriteRPS = &requests, &changes
	c := New(&cfg, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	controllers := rate.Limit(len(cfg.Others) + 1)
	if got := c.reads.Limit() * controllers; got > rate.Limit(requests) {
		t.Errorf("%v reads per second exceed the upcoming limit of %v requests", got, requests)
	}
	if got := c.writes.Limit() * controllers; got != rate.Limit(cfg.Facts.State.WriteRPS*userShare) {
		t.Errorf("%v changes per second before the upcoming limit is in effect", got)
	}
	for range refusalsToLowerRate {
		c.observeRateLimit(http.StatusTooManyRequests)
	}
	if got := c.writes.Limit() * controllers; got > rate.Limit(changes) {
		t.Errorf("%v changes per second exceed the limit of %v", got, changes)
	}
}
