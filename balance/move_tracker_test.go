package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pumicefront/scheduler"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testMove returns a move of a task of one core from machine a to machine b.
func testMove(job string) Move {
	return Move{Task: Task{TaskID: TaskID{job, 1}, Team: "red", Resources: scheduler.Resources{CPUs: 1}}, From: "a", To: "b"}
}

// Every course of a move leads to the right outcome, and the reserved room is released by then.
func TestMoveOutcomes(t *testing.T) {
	atA, notPlaced := Observation{Active: true, Attempt: 4, Machine: "a", Running: true}, Observation{}
	starting, onB := Observation{Active: true, Attempt: 5, Machine: "b"}, Observation{Active: true, Attempt: 5, Machine: "b", Running: true}
	onC := Observation{Active: true, Attempt: 5, Machine: "c", Running: true}
	lost := Observation{Active: true, Attempt: 4, Machine: "a", DestinationLost: true}
	for name, c := range map[string]struct {
		observations []Observation
		outcome      Outcome
		releases     map[ReleaseReason]int
	}{
		"moved":                                   {[]Observation{atA, notPlaced, starting, onB}, Moved, nil},
		"phases not observed":                     {[]Observation{atA, onB}, Moved, nil},
		"the same phase is observed twice":        {[]Observation{atA, notPlaced, starting, starting, onB}, Moved, nil},
		"diverted":                                {[]Observation{atA, notPlaced, onC}, Diverted, nil},
		"completed before it was stopped":         {[]Observation{atA, {Completed: true}}, Completed, nil},
		"cancelled":                               {[]Observation{atA, {Cancelled: true, Active: true, Attempt: 4}}, Cancelled, nil},
		"destination is lost":                     {[]Observation{lost, notPlaced, onC}, Diverted, map[ReleaseReason]int{ReleasedDestinationLost: 1}},
		"destination is lost and comes back":      {[]Observation{lost, notPlaced, onB}, Moved, map[ReleaseReason]int{ReleasedDestinationLost: 1}},
		"move takes longer than room is reserved": {[]Observation{atA, atA, atA, atA, notPlaced, onB}, Moved, map[ReleaseReason]int{ReleasedTimeOut: 1}},
	} {
		settings := DefaultSettings()
		settings.Hold = 35 * time.Second
		tracker := NewMoveTracker(settings, startTime)
		m := testMove("job")
		tracker.Start(startTime, m, 4)
		if reserved := tracker.ReservedOn("b"); reserved.CPUs != 1 {
			t.Errorf("%s: %v is reserved after the start", name, reserved)
		}
		var last Change
		for i, observation := range c.observations {
			last, _ = tracker.Observe(startTime.Add(time.Duration(i+1)*10*time.Second), m.TaskID, observation)
			if _, active := tracker.ActiveMove(m.TaskID); active == (last.Outcome != "") {
				t.Errorf("%s: active %v, outcome %q", name, active, last.Outcome)
			}
		}
		if last.Outcome != c.outcome || tracker.Len() != 0 || tracker.ReservedOn("b") != (scheduler.Resources{}) {
			t.Errorf("%s: outcome %q, %d active moves, %v reserved", name, last.Outcome, tracker.Len(), tracker.ReservedOn("b"))
		}
		if counts := tracker.Counts(); counts.Outcomes[c.outcome] != 1 || fmt.Sprint(counts.Releases) != fmt.Sprint(c.releases) {
			t.Errorf("%s: counts %+v", name, counts)
		}
		if !tracker.MovedRecently(startTime.Add(settings.Stay-time.Second), m.TaskID) || tracker.MovedRecently(startTime.Add(settings.Stay), m.TaskID) {
			t.Errorf("%s: the task does not stay for exactly %v after a move", name, settings.Stay)
		}
	}
}

// Reserved room is released once, and only while it is reserved. The move itself goes on.
func TestReleaseReservedRoom(t *testing.T) {
	tracker := NewMoveTracker(DefaultSettings(), startTime)
	tracker.Start(startTime, testMove("job"), 4)
	id := testMove("job").TaskID
	if c, released := tracker.ReleaseReservation(id, ReleasedForUrgent); !released || c.ReleaseReason != ReleasedForUrgent || tracker.ReservedOn("b").CPUs != 0 {
		t.Errorf("%+v", c)
	}
	if c, released := tracker.ReleaseReservation(id, ReleasedForUrgent); released {
		t.Errorf("released twice: %+v", c)
	}
	if _, active := tracker.ActiveMove(id); !active {
		t.Error("the move is no longer tracked")
	}
}

// Moves stay within their rate over any sequence of leader changes and pauses, because a new leader's budget
// is empty.
func TestMoveRateIsKeptAcrossLeaders(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 7))
	settings := DefaultSettings()
	const machines = 60
	perSecond := settings.movesPerSecond(machines)
	for range 30 {
		now, tracker := startTime, NewMoveTracker(settings, startTime)
		if a := tracker.Allowance(now, machines, 0); a.Moves != 0 {
			t.Fatalf("%d moves allowed to a new leader", a.Moves)
		}
		started := 0
		for now.Sub(startTime) < 5*time.Minute {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if rng.IntN(12) == 0 {
				tracker = NewMoveTracker(settings, now)
			}
			others := rng.IntN(3)
			a := tracker.Allowance(now, machines, others)
			if a.Moves+tracker.Len()+others > max(settings.maxMovesInFlight(machines), tracker.Len()+others) || a.MaxPerTeam > settings.maxMovesPerTeam(machines) {
				t.Fatalf("allowance %+v with %d own active moves and %d others", a, tracker.Len(), others)
			}
			for range a.Moves {
				m := testMove(fmt.Sprint(started))
				tracker.Start(now, m, 4)
				tracker.Observe(now, m.TaskID, Observation{Completed: true})
				started++
			}
		}
		if most := int(perSecond*now.Sub(startTime).Seconds()) + 1; started > most {
			t.Fatalf("%d moves in five minutes, want at most %d", started, most)
		}
	}
}

// Sweep removes only records of moves that started at least Stay ago.
func TestSweep(t *testing.T) {
	tracker := NewMoveTracker(DefaultSettings(), startTime)
	for i, at := range []time.Duration{0, time.Minute} {
		m := testMove(fmt.Sprint(i))
		tracker.Start(startTime.Add(at), m, 4)
		tracker.Observe(startTime.Add(at), m.TaskID, Observation{Completed: true})
	}
	tracker.Sweep(startTime.Add(tracker.settings.Stay + time.Second))
	if len(tracker.movedAt) != 1 {
		t.Errorf("%d records are left, want 1", len(tracker.movedAt))
	}
}
