package zones

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// play drives a tracker in steps of a second; zone b is always well.
type play struct {
	*Tracker
	now time.Time
}

func newPlay() *play {
	return &play{Tracker: New(DefaultSettings()), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// observe looks for so many seconds at a zone a in which so many machines answer and are silent.
func (p *play) observe(seconds, responsive, silent int) {
	for range seconds {
		p.now = p.now.Add(time.Second)
		p.Observe(p.now, []Health{{"a", responsive, silent}, {"b", 5, 0}})
	}
}

func (p *play) expect(t *testing.T, want State) {
	t.Helper()
	if got := p.State("a"); got != want {
		t.Fatalf("zone a is %v, want %v", got, want)
	}
}

func TestLossAndReturn(t *testing.T) {
	p := newPlay()
	p.observe(5, 6, 0)
	p.expect(t, Healthy)
	p.observe(1, 1, 5)
	p.expect(t, Suspected)
	p.observe(3, 6, 0)
	p.expect(t, Healthy)
	p.observe(12, 1, 5)
	p.expect(t, Lost)
	if a := p.Admission("a"); !a.Limited || !a.BoundOnly {
		t.Errorf("a lost zone takes %+v", a)
	}
	p.observe(1, 4, 2)
	p.expect(t, HeldDown)
	p.observe(5, 6, 0)
	p.expect(t, Returning)
	if a := p.Admission("a"); a.BoundOnly || a.Starts != DefaultSettings().FirstStarts {
		t.Errorf("a returning zone takes %+v", a)
	}
	p.HeldBack(p.now.Add(8*time.Second), "a")
	p.observe(12, 6, 0)
	p.expect(t, Returning)
	p.observe(10, 6, 0)
	p.expect(t, Healthy)
	if a := p.Admission("a"); a.Limited || p.Recovering() {
		t.Errorf("a healthy zone takes %+v", a)
	}
}

// Silence says nothing where nobody answers, nor of a zone with one silent machine.
func TestSilenceNeedsAWitness(t *testing.T) {
	p := newPlay()
	for range 60 {
		p.now = p.now.Add(time.Second)
		if changes := p.Observe(p.now, []Health{{"a", 0, 6}, {"b", 1, 6}}); len(changes) > 0 {
			t.Fatalf("%+v without a witness", changes)
		}
	}
	p.observe(60, 0, 1)
	p.expect(t, Healthy)
}

// Time that nobody saw counts for nothing: the silence begins anew when there is a witness again.
func TestSilenceWithoutWitnessDoesNotCount(t *testing.T) {
	p := newPlay()
	p.observe(7, 0, 6)
	p.now = p.now.Add(time.Minute)
	p.Observe(p.now, []Health{{"a", 0, 6}, {"b", 0, 6}})
	p.observe(7, 0, 6)
	p.expect(t, Suspected)
	p.observe(2, 0, 6)
	p.expect(t, Lost)
}

// A zone without machines is tried again when the hold-down is over.
func TestEmptyZoneIsTriedAgain(t *testing.T) {
	p := newPlay()
	p.observe(10, 0, 6)
	p.expect(t, Lost)
	p.observe(12, 0, 0)
	p.expect(t, Returning)
}

// heldFor loses the zone once more and returns for how many seconds it is held down then.
func (p *play) heldFor(t *testing.T) int {
	t.Helper()
	p.observe(10, 0, 6)
	p.expect(t, Lost)
	p.observe(1, 6, 0)
	held := 0
	for p.State("a") == HeldDown {
		p.observe(1, 6, 0)
		held++
	}
	return held
}

func TestHoldDownGrowsAndDecays(t *testing.T) {
	p := newPlay()
	first, second, third := p.heldFor(t), p.heldFor(t), p.heldFor(t)
	if first != 5 || second < 9 || second > 10 || third < 18 || third > 20 {
		t.Errorf("held down for %d, %d and %d s", first, second, third)
	}
	for range 6 {
		if held := p.heldFor(t); held > 61 {
			t.Errorf("held down for %d s", held)
		}
	}
	p.observe(2*3600, 6, 0)
	if held := p.heldFor(t); held != 5 {
		t.Errorf("two hours later held down for %d s", held)
	}
}

func TestWindowsFollowStarts(t *testing.T) {
	p := newPlay()
	p.observe(10, 0, 6)
	p.observe(7, 6, 0)
	p.expect(t, Returning)
	for range 20 {
		p.Succeeded(Start{Zone: "a", Image: "x", Fetches: true})
	}
	if a := p.Admission("a"); a.Starts != 28 || p.Fetches("a", "x") != 24 || p.Fetches("a", "y") != 4 {
		t.Errorf("%+v, %d and %d fetches", a, p.Fetches("a", "x"), p.Fetches("a", "y"))
	}
	p.Failed(Start{Zone: "a", Image: "y"})
	if a := p.Admission("a"); a.Starts != 14 || p.Fetches("a", "x") != 24 {
		t.Errorf("%+v after a failed start", a)
	}
	for range 9 {
		p.Failed(Start{Zone: "a", Image: "x", Fetches: true})
	}
	if a := p.Admission("a"); a.Starts != 8 || p.Fetches("a", "x") != 4 {
		t.Errorf("%+v after many failed starts", a)
	}
	p.Succeeded(Start{Zone: "b"})
	if a := p.Admission("b"); a.Limited {
		t.Errorf("a healthy zone takes %+v", a)
	}
}

// A new leader goes on where the last one was; what is stale or makes no sense is dropped.
func TestRestore(t *testing.T) {
	p := newPlay()
	p.heldFor(t)
	p.Succeeded(Start{Zone: "a"})
	kept, any := p.Record("a", p.now)
	if _, healthy := p.Record("b", p.now); !any || healthy {
		t.Fatalf("a is kept: %v; b: %v", any, healthy)
	}
	next := newPlay()
	next.now = p.now.Add(2 * time.Second)
	if !next.Restore("a", kept, next.now) || next.Admission("a").Starts != 9 {
		t.Errorf("restored as %+v from %+v", next.Admission("a"), kept)
	}
	next.expect(t, Returning)
	if held := next.heldFor(t); held < 9 {
		t.Errorf("held down for %d s after a loss that the last leader saw", held)
	}
	late := newPlay()
	if late.Restore("a", kept, p.now.Add(11*time.Minute)) || late.Recovering() {
		t.Error("a stale record is taken up")
	}
	kept.State = "no such state"
	if odd := newPlay(); !odd.Restore("a", kept, p.now) || odd.State("a") != Healthy {
		t.Error("an unknown state is taken up")
	}
}

// Whatever is seen and restored, a hold-down ends, a window stays within its bounds, and a zone
// that is well comes back to health.
func TestTrackerAlwaysRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay()
		if rapid.Bool().Draw(t, "restored") {
			p.Restore("a", Record{State: rapid.SampledFrom(stateNames[:]).Draw(t, "state"), SinceMS: rapid.Int64().Draw(t, "since"),
				HeldMS: rapid.Int64().Draw(t, "held"), Penalty: rapid.Float64().Draw(t, "penalty"),
				Window: rapid.Int().Draw(t, "window"), WrittenMS: p.now.UnixMilli()}, p.now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			p.observe(rapid.IntRange(1, 15).Draw(t, "seconds"), rapid.IntRange(0, 4).Draw(t, "responsive"), rapid.IntRange(0, 4).Draw(t, "silent"))
			start := Start{Zone: "a", Image: "x", Fetches: rapid.Bool().Draw(t, "fetches")}
			if rapid.Bool().Draw(t, "ends well") {
				p.Succeeded(start)
			} else {
				p.Failed(start)
			}
			if a := p.Admission("a"); a.Limited && a.Starts < DefaultSettings().FirstStarts {
				t.Fatalf("takes %+v", a)
			}
		}
		p.observe(61+11, 4, 0)
		if p.Recovering() {
			t.Fatalf("still %v", p.State("a"))
		}
	})
}
