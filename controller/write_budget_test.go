package controller

import (
	"testing"
	"time"
)

// Background writes have a lower rate than urgent ones and count against both limits. No more than
// a burst is ever allowed at once.
func TestWriteBudget(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b := newWriteBudget(10)
	b.setRate(now, 20)
	if b.allows(now, b.burst()+1, true) {
		t.Error("more than a burst is allowed")
	}
	b.spend(now, 6, false)
	if b.available(now) != 4 || b.allows(now, 5, true) || !b.allows(now, 4, false) {
		t.Errorf("%d left after 6 of 10 changes", b.available(now))
	}
	b.spend(now, 4, false)
	now = now.Add(250 * time.Millisecond) // adds 4.25 changes, of which 2 may be background
	if !b.allows(now, 4, true) || b.allows(now, 5, true) {
		t.Error("urgent changes after a quarter of a second: want 4")
	}
	if n := b.available(now); n != 2 || !b.allows(now, 2, false) || b.allows(now, 3, false) {
		t.Errorf("%d background changes after a quarter of a second, want 2", n)
	}
	if b.pausedUntil = now.Add(time.Millisecond); !b.paused(now) || b.paused(now.Add(time.Millisecond)) {
		t.Error("a pause doesn't last exactly until pausedUntil")
	}
}
