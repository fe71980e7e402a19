package controller

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
)

// The state service may take fewer requests from a moment that nobody announces. Reads for
// users keep to that from the start, and changes once refusals tell that it has come.
func TestComingRates(t *testing.T) {
	template, _, _ := leading(t)
	cfg := *template.cfg
	requests, changes := 30.0, 12.0
	cfg.Facts.State.Next.RPS, cfg.Facts.State.Next.WriteRPS = &requests, &changes
	c := New(&cfg, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	controllers := rate.Limit(len(cfg.Others) + 1)
	if got := c.reads.Limit() * controllers; got > rate.Limit(requests) {
		t.Errorf("%v reads a second, the state service will take %v requests", got, requests)
	}
	if got := c.writes.Limit() * controllers; got != rate.Limit(cfg.Facts.State.WriteRPS*userShare) {
		t.Errorf("%v changes a second before the limit has come", got)
	}
	for range refusalsToLower {
		c.observeRateLimit(http.StatusTooManyRequests)
	}
	if got := c.writes.Limit() * controllers; got > rate.Limit(changes) {
		t.Errorf("%v changes a second, the state service takes %v", got, changes)
	}
}
