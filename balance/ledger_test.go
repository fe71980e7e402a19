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
	return Move{Task: Task{TaskID: TaskID{job, 1}, Team: "red", Each: scheduler.Resources{CPUs: 1}}, From: "a", To: "b"}
}

// Every course of a move leads to the right outcome, and the reserved room is released by then.
func TestMoveOutcomes(t *testing.T) {
	atA, notPlaced := Seen{InForce: true, Attempt: 4, Machine: "a", Running: true}, Seen{}
	starting, onB := Seen{InForce: true, Attempt: 5, Machine: "b"}, Seen{InForce: true, Attempt: 5, Machine: "b", Running: true}
	onC := Seen{InForce: true, Attempt: 5, Machine: "c", Running: true}
	lost := Seen{InForce: true, Attempt: 4, Machine: "a", DestinationLost: true}
	for name, c := range map[string]struct {
		seen    []Seen
		outcome Outcome
		losses  map[Loss]int
	}{
		"moved":                                   {[]Seen{atA, notPlaced, starting, onB}, Moved, nil},
		"phases not observed":                     {[]Seen{atA, onB}, Moved, nil},
		"the same phase is observed twice":        {[]Seen{atA, notPlaced, starting, starting, onB}, Moved, nil},
		"diverted":                                {[]Seen{atA, notPlaced, onC}, Diverted, nil},
		"completed before it was stopped":         {[]Seen{atA, {Completed: true}}, Completed, nil},
		"cancelled":                               {[]Seen{atA, {Cancelled: true, InForce: true, Attempt: 4}}, Cancelled, nil},
		"destination is lost":                     {[]Seen{lost, notPlaced, onC}, Diverted, map[Loss]int{LossDestination: 1}},
		"destination is lost and comes back":      {[]Seen{lost, notPlaced, onB}, Moved, map[Loss]int{LossDestination: 1}},
		"move takes longer than room is reserved": {[]Seen{atA, atA, atA, atA, notPlaced, onB}, Moved, map[Loss]int{LossTimeOut: 1}},
	} {
		settings := DefaultSettings()
		settings.Hold = 35 * time.Second
		l := NewLedger(settings, startTime)
		m := testMove("job")
		l.Begin(startTime, m, 4)
		if held := l.HeldOn("b"); held.CPUs != 1 {
			t.Errorf("%s: %v is reserved after the start", name, held)
		}
		var last Change
		for i, seen := range c.seen {
			last, _ = l.Observe(startTime.Add(time.Duration(i+1)*10*time.Second), m.TaskID, seen)
			if _, under := l.Entry(m.TaskID); under == (last.Outcome != "") {
				t.Errorf("%s: under way %v, outcome %q", name, under, last.Outcome)
			}
		}
		if last.Outcome != c.outcome || l.Len() != 0 || l.HeldOn("b") != (scheduler.Resources{}) {
			t.Errorf("%s: outcome %q, %d moves under way, %v reserved", name, last.Outcome, l.Len(), l.HeldOn("b"))
		}
		if counts := l.Counts(); counts.Outcomes[c.outcome] != 1 || fmt.Sprint(counts.Losses) != fmt.Sprint(c.losses) {
			t.Errorf("%s: counts %+v", name, counts)
		}
		if !l.MovedLately(startTime.Add(settings.Stay-time.Second), m.TaskID) || l.MovedLately(startTime.Add(settings.Stay), m.TaskID) {
			t.Errorf("%s: the task does not stay for exactly %v after a move", name, settings.Stay)
		}
	}
}

// Reserved room is released once, and only while it is reserved. The move itself goes on.
func TestReleaseReservedRoom(t *testing.T) {
	l := NewLedger(DefaultSettings(), startTime)
	l.Begin(startTime, testMove("job"), 4)
	id := testMove("job").TaskID
	if c, any := l.GiveUp(id, LossUrgent); !any || c.Loss != LossUrgent || l.HeldOn("b").CPUs != 0 {
		t.Errorf("%+v", c)
	}
	if c, any := l.GiveUp(id, LossUrgent); any {
		t.Errorf("released twice: %+v", c)
	}
	if _, under := l.Entry(id); !under {
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
		now, l := startTime, NewLedger(settings, startTime)
		if a := l.Allowance(now, machines, 0); a.Moves != 0 {
			t.Fatalf("%d moves allowed to a new leader", a.Moves)
		}
		begun := 0
		for now.Sub(startTime) < 5*time.Minute {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if rng.IntN(12) == 0 {
				l = NewLedger(settings, now)
			}
			others := rng.IntN(3)
			a := l.Allowance(now, machines, others)
			if a.Moves+l.Len()+others > max(settings.maxMovesInFlight(machines), l.Len()+others) || a.MaxPerTeam > settings.maxMovesPerTeam(machines) {
				t.Fatalf("allowance %+v with %d own moves under way and %d others", a, l.Len(), others)
			}
			for range a.Moves {
				m := testMove(fmt.Sprint(begun))
				l.Begin(now, m, 4)
				l.Observe(now, m.TaskID, Seen{Completed: true})
				begun++
			}
		}
		if most := int(perSecond*now.Sub(startTime).Seconds()) + 1; begun > most {
			t.Fatalf("%d moves in five minutes, want at most %d", begun, most)
		}
	}
}

// Sweep removes only records of moves that started at least Stay ago.
func TestSweep(t *testing.T) {
	l := NewLedger(DefaultSettings(), startTime)
	for i, at := range []time.Duration{0, time.Minute} {
		m := testMove(fmt.Sprint(i))
		l.Begin(startTime.Add(at), m, 4)
		l.Observe(startTime.Add(at), m.TaskID, Seen{Completed: true})
	}
	l.Sweep(startTime.Add(l.settings.Stay + time.Second))
	if len(l.movedAt) != 1 {
		t.Errorf("%d records are left, want 1", len(l.movedAt))
	}
}
