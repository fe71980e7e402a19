package zones

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trackerDriver feeds a tracker with one observation per second, in which zone b always responds.
type trackerDriver struct {
	*Tracker
	now time.Time
}

func newTrackerDriver() *trackerDriver {
	return &trackerDriver{Tracker: New(DefaultSettings()), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// observe feeds the given number of seconds of observations in which zone a has the given numbers of
// responsive and silent machines.
func (driver *trackerDriver) observe(seconds, responsive, silent int) {
	for range seconds {
		driver.now = driver.now.Add(time.Second)
		driver.Observe(driver.now, []Health{{"a", responsive, silent}, {"b", 5, 0}})
	}
}

func (driver *trackerDriver) expect(t *testing.T, want State) {
	t.Helper()
	if got := driver.State("a"); got != want {
		t.Fatalf("zone a is %v, want %v", got, want)
	}
}

func TestLossAndReturn(t *testing.T) {
	driver := newTrackerDriver()
	driver.observe(5, 6, 0)
	driver.expect(t, Healthy)
	driver.observe(1, 1, 5)
	driver.expect(t, Suspected)
	driver.observe(3, 6, 0)
	driver.expect(t, Healthy)
	driver.observe(12, 1, 5)
	driver.expect(t, Lost)
	if a := driver.Admission("a"); !a.Limited || !a.PinnedOnly {
		t.Errorf("a lost zone admits %+v", a)
	}
	driver.observe(1, 4, 2)
	driver.expect(t, HeldDown)
	driver.observe(5, 6, 0)
	driver.expect(t, Returning)
	if a := driver.Admission("a"); a.PinnedOnly || a.Starts != DefaultSettings().FirstStarts {
		t.Errorf("a returning zone admits %+v", a)
	}
	driver.RecordThrottledStart(driver.now.Add(8*time.Second), "a")
	driver.observe(12, 6, 0)
	driver.expect(t, Returning)
	driver.observe(10, 6, 0)
	driver.expect(t, Healthy)
	if a := driver.Admission("a"); a.Limited || driver.Recovering() {
		t.Errorf("a healthy zone admits %+v", a)
	}
}

// Silence does not count against a zone if no zone responds, nor if a single machine is silent.
func TestSilenceNeedsAWitness(t *testing.T) {
	driver := newTrackerDriver()
	for range 60 {
		driver.now = driver.now.Add(time.Second)
		if changes := driver.Observe(driver.now, []Health{{"a", 0, 6}, {"b", 1, 6}}); len(changes) > 0 {
			t.Fatalf("%+v without a witness", changes)
		}
	}
	driver.observe(60, 0, 1)
	driver.expect(t, Healthy)
}

// Silence without a witness does not count towards LostAfter: the time starts anew with the next witness.
func TestSilenceWithoutWitnessDoesNotCount(t *testing.T) {
	driver := newTrackerDriver()
	driver.observe(7, 0, 6)
	driver.now = driver.now.Add(time.Minute)
	driver.Observe(driver.now, []Health{{"a", 0, 6}, {"b", 0, 6}})
	driver.observe(7, 0, 6)
	driver.expect(t, Suspected)
	driver.observe(2, 0, 6)
	driver.expect(t, Lost)
}

// A lost zone without machines is tried again once the hold-down has passed.
func TestEmptyZoneIsTriedAgain(t *testing.T) {
	driver := newTrackerDriver()
	driver.observe(10, 0, 6)
	driver.expect(t, Lost)
	driver.observe(12, 0, 0)
	driver.expect(t, Returning)
}

// loseAndMeasureHoldDown makes the zone lost once more and returns for how many seconds it is then held down.
func (driver *trackerDriver) loseAndMeasureHoldDown(t *testing.T) int {
	t.Helper()
	driver.observe(10, 0, 6)
	driver.expect(t, Lost)
	driver.observe(1, 6, 0)
	held := 0
	for driver.State("a") == HeldDown {
		driver.observe(1, 6, 0)
		held++
	}
	return held
}

// Each further loss doubles the hold-down up to its maximum. Without losses it decays to its initial length.
func TestHoldDownGrowsAndDecays(t *testing.T) {
	driver := newTrackerDriver()
	first, second, third := driver.loseAndMeasureHoldDown(t), driver.loseAndMeasureHoldDown(t), driver.loseAndMeasureHoldDown(t)
	if first != 5 || second < 9 || second > 10 || third < 18 || third > 20 {
		t.Errorf("held down for %d, %d and %d s", first, second, third)
	}
	for range 6 {
		if held := driver.loseAndMeasureHoldDown(t); held > 61 {
			t.Errorf("held down for %d s", held)
		}
	}
	driver.observe(2*3600, 6, 0)
	if held := driver.loseAndMeasureHoldDown(t); held != 5 {
		t.Errorf("two hours later held down for %d s", held)
	}
}

// Starts that succeed enlarge the windows of their zone and image, starts that fail halve them, and windows
// never shrink below their initial size.
func TestWindowsFollowStarts(t *testing.T) {
	driver := newTrackerDriver()
	driver.observe(10, 0, 6)
	driver.observe(7, 6, 0)
	driver.expect(t, Returning)
	for range 20 {
		driver.Succeeded(Start{Zone: "a", Image: "x", Fetches: true})
	}
	if a := driver.Admission("a"); a.Starts != 28 || driver.FetchLimit("a", "x") != 24 || driver.FetchLimit("a", "y") != 4 {
		t.Errorf("%+v, %d and %d fetches", a, driver.FetchLimit("a", "x"), driver.FetchLimit("a", "y"))
	}
	driver.Failed(Start{Zone: "a", Image: "y"})
	if a := driver.Admission("a"); a.Starts != 14 || driver.FetchLimit("a", "x") != 24 {
		t.Errorf("%+v after a failed start", a)
	}
	for range 9 {
		driver.Failed(Start{Zone: "a", Image: "x", Fetches: true})
	}
	if a := driver.Admission("a"); a.Starts != 8 || driver.FetchLimit("a", "x") != 4 {
		t.Errorf("%+v after many failed starts", a)
	}
	driver.Succeeded(Start{Zone: "b"})
	if a := driver.Admission("b"); a.Limited {
		t.Errorf("a healthy zone admits %+v", a)
	}
}

// A new leader continues in the stored state. A stale record is ignored, and an unknown state counts as healthy.
func TestRestore(t *testing.T) {
	driver := newTrackerDriver()
	driver.loseAndMeasureHoldDown(t)
	driver.Succeeded(Start{Zone: "a"})
	stored, isStored := driver.Record("a", driver.now)
	if _, healthy := driver.Record("b", driver.now); !isStored || healthy {
		t.Fatalf("a is stored: %v, want true; b: %v, want false", isStored, healthy)
	}
	next := newTrackerDriver()
	next.now = driver.now.Add(2 * time.Second)
	if !next.Restore("a", stored, next.now) || next.Admission("a").Starts != 9 {
		t.Errorf("restored as %+v from %+v", next.Admission("a"), stored)
	}
	next.expect(t, Returning)
	if held := next.loseAndMeasureHoldDown(t); held < 9 {
		t.Errorf("held down for %d s after a second loss, the first of them under the last leader", held)
	}
	late := newTrackerDriver()
	if late.Restore("a", stored, driver.now.Add(11*time.Minute)) || late.Recovering() {
		t.Error("a stale record was restored")
	}
	stored.State = "no such state"
	if unknown := newTrackerDriver(); !unknown.Restore("a", stored, driver.now) || unknown.State("a") != Healthy {
		t.Error("a record with an unknown state did not restore the zone as healthy")
	}
}

// After any observations and any restored record, hold-downs end, windows stay at their initial size or
// above, and a zone whose machines all respond becomes healthy.
func TestTrackerAlwaysRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		driver := newTrackerDriver()
		if rapid.Bool().Draw(t, "restored") {
			driver.Restore("a", Record{State: rapid.SampledFrom(stateNames[:]).Draw(t, "state"), SinceMS: rapid.Int64().Draw(t, "since"),
				HeldMS: rapid.Int64().Draw(t, "held"), Penalty: rapid.Float64().Draw(t, "penalty"),
				Window: rapid.Int().Draw(t, "window"), WrittenMS: driver.now.UnixMilli()}, driver.now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			driver.observe(rapid.IntRange(1, 15).Draw(t, "seconds"), rapid.IntRange(0, 4).Draw(t, "responsive"), rapid.IntRange(0, 4).Draw(t, "silent"))
			start := Start{Zone: "a", Image: "x", Fetches: rapid.Bool().Draw(t, "fetches")}
			if rapid.Bool().Draw(t, "succeeds") {
				driver.Succeeded(start)
			} else {
				driver.Failed(start)
			}
			if a := driver.Admission("a"); a.Limited && a.Starts < DefaultSettings().FirstStarts {
				t.Fatalf("admits %+v, fewer than the initial starts", a)
			}
		}
		driver.observe(61+11, 4, 0)
		if driver.Recovering() {
			t.Fatalf("zone a is still %v", driver.State("a"))
		}
	})
}
