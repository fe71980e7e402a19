package controller

import (
	"slices"
	"testing"
	"time"
)

// Due timers are run in the order in which they were set, with those that they set themselves, and the others stay.
func TestTimersRunInTheOrderInWhichTheyWereSet(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var timers timers
	var ran []int
	record := func(n int) func() { return func() { ran = append(ran, n) } }
	timers.add(now.Add(3*time.Second), record(1))
	timers.add(now.Add(time.Second), func() {
		record(2)()
		timers.add(now, record(5))
		timers.add(now.Add(time.Hour), record(6))
	})
	timers.add(now.Add(2*time.Second), record(3))
	timers.add(now.Add(time.Minute), record(4))
	if at, found := timers.next(); !found || !at.Equal(now.Add(time.Second)) {
		t.Errorf("the earliest timer is at %v", at)
	}
	if timers.run(now); len(ran) > 0 {
		t.Errorf("%v ran before they were due", ran)
	}
	if timers.run(now.Add(3 * time.Second)); !slices.Equal(ran, []int{1, 2, 3, 5}) {
		t.Errorf("ran %v, want 1, 2, 3 and the one set meanwhile", ran)
	}
	if at, found := timers.next(); !found || !at.Equal(now.Add(time.Minute)) {
		t.Errorf("the earliest timer left is at %v", at)
	}
}

// Each failed attempt sets a timer. Running those of a large job that fails everywhere took a time that grows with the square
// of their number.
func TestManyTimers(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var timers timers
	ran := 0
	begun := time.Now()
	for n := range 200_000 {
		timers.add(now.Add(time.Duration(n%100)*time.Second), func() { ran++ })
	}
	for n := range 100 {
		timers.run(now.Add(time.Duration(n) * time.Second))
	}
	if took := time.Since(begun); took > 20*time.Second || ran != 200_000 {
		t.Errorf("%d of 200,000 timers ran in %v, want a few hundred milliseconds", ran, took)
	}
}
