package controller

import (
	"testing"
	"time"
)

// Authority counts from before a renewal was sent, falls short of the lease's life, and never goes
// back for a reply that comes late.
func TestTermCountsFromBeforeTheRenewal(t *testing.T) {
	now, life := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), 2*time.Second
	held := newTerm(now, 1, 7, 3)
	held.extend(now, life)
	if short := now.Add(life).Sub(held.authority); short < authorityMargin || short > 2*authorityMargin {
		t.Errorf("authority ends %v before the lease", short)
	}
	until := held.authority
	held.extend(now.Add(-time.Second), life)
	if held.authority != until || held.renewed != now {
		t.Errorf("a late reply moves the authority from %v to %v", until, held.authority)
	}
	if held.mayRaiseToken(now.Add(raisePause-time.Millisecond)) || !held.mayRaiseToken(now.Add(raisePause)) {
		t.Error("the token may be raised at the wrong time")
	}
	held.raisingToken = true
	if held.mayRaiseToken(now.Add(time.Hour)) {
		t.Error("the token may be raised while it is being raised")
	}
}

// Silence counts only while the leader listens.
func TestListeningPeriod(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var p listeningPeriod
	p.observe(start)
	p.observe(start.Add(listenGap))
	if got := p.elapsed(start.Add(listenGap), start.Add(-time.Hour)); got != listenGap {
		t.Errorf("%v listened for", got)
	}
	resumed := start.Add(10 * time.Second)
	p.observe(resumed)
	if got := p.elapsed(resumed.Add(time.Second), start); got != time.Second {
		t.Errorf("%v listened for after a pause", got)
	}
	if got := p.elapsed(resumed.Add(3*time.Second), resumed.Add(time.Second)); got != 2*time.Second {
		t.Errorf("%v since a moment in the period", got)
	}
}
