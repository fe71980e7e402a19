package controller

import (
	"testing"
	"time"
)

// The end of authority is computed from the time at which a renewal was sent, is before the end of the lease, and is
// never moved back by a late reply.
func TestAuthorityEndsBeforeLease(t *testing.T) {
	now, life := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), 2*time.Second
	leadership := newTerm(now, 1, 7, 3)
	leadership.extend(now, life)
	if margin := now.Add(life).Sub(leadership.authority); margin < authorityMargin || margin > 2*authorityMargin {
		t.Errorf("authority ends %v before the lease, want between one and two margins", margin)
	}
	until := leadership.authority
	leadership.extend(now.Add(-time.Second), life)
	if leadership.authority != until || leadership.renewed != now {
		t.Errorf("a late reply moved the end of authority from %v to %v", until, leadership.authority)
	}
	if leadership.mayRaiseToken(now.Add(tokenRaiseInterval-time.Millisecond)) || !leadership.mayRaiseToken(now.Add(tokenRaiseInterval)) {
		t.Error("the minimum time between two token raises is not observed")
	}
	leadership.raisingToken = true
	if leadership.mayRaiseToken(now.Add(time.Hour)) {
		t.Error("the token may be raised while a raise is in progress")
	}
}

// A machine's silence counts only for the time that the leader was receiving heartbeats.
func TestListeningPeriod(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var p listeningPeriod
	p.observe(start)
	p.observe(start.Add(maxListenGap))
	if got := p.elapsed(start.Add(maxListenGap), start.Add(-time.Hour)); got != maxListenGap {
		t.Errorf("listened for %v, want maxListenGap", got)
	}
	resumed := start.Add(10 * time.Second)
	p.observe(resumed)
	if got := p.elapsed(resumed.Add(time.Second), start); got != time.Second {
		t.Errorf("listened for %v after a pause, want 1s", got)
	}
	if got := p.elapsed(resumed.Add(3*time.Second), resumed.Add(time.Second)); got != 2*time.Second {
		t.Errorf("listened for %v since a time within the period, want 2s", got)
	}
}
