package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pumicefront/scheduler"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// anyMove is a move of one core from a to b.
func anyMove(job string) Move {
	return Move{Task: Task{TaskID: TaskID{job, 1}, Team: "red", Each: scheduler.Resources{CPUs: 1}}, From: "a", To: "b"}
}

// Each way that a move can go ends as it should, and the room that is held is free then.
func TestMovesAreFollowed(t *testing.T) {
	atA, gone := Seen{InForce: true, Attempt: 4, Machine: "a", Running: true}, Seen{}
	starting, onB := Seen{InForce: true, Attempt: 5, Machine: "b"}, Seen{InForce: true, Attempt: 5, Machine: "b", Running: true}
	onC := Seen{InForce: true, Attempt: 5, Machine: "c", Running: true}
	lost := Seen{InForce: true, Attempt: 4, Machine: "a", DestinationLost: true}
	for name, c := range map[string]struct {
		seen    []Seen
		outcome Outcome
		losses  map[Loss]int
	}{
		"moved":                        {[]Seen{atA, gone, starting, onB}, Moved, nil},
		"seen late":                    {[]Seen{atA, onB}, Moved, nil},
		"a report shows it once more":  {[]Seen{atA, gone, starting, starting, onB}, Moved, nil},
		"diverted":                     {[]Seen{atA, gone, onC}, Diverted, nil},
		"done before it was stopped":   {[]Seen{atA, {Completed: true}}, Completed, nil},
		"cancelled":                    {[]Seen{atA, {Cancelled: true, InForce: true, Attempt: 4}}, Cancelled, nil},
		"the destination is lost":      {[]Seen{lost, gone, onC}, Diverted, map[Loss]int{LossDestination: 1}},
		"the destination comes back":   {[]Seen{lost, gone, onB}, Moved, map[Loss]int{LossDestination: 1}},
		"it takes longer than is held": {[]Seen{atA, atA, atA, atA, gone, onB}, Moved, map[Loss]int{LossTimeOut: 1}},
	} {
		settings := DefaultSettings()
		settings.Hold = 35 * time.Second
		l := NewLedger(settings, start)
		m := anyMove("job")
		l.Begin(start, m, 4)
		if held := l.HeldOn("b"); held.CPUs != 1 {
			t.Errorf("%s: %v is held", name, held)
		}
		var last Change
		for i, seen := range c.seen {
			last, _ = l.Observe(start.Add(time.Duration(i+1)*10*time.Second), m.TaskID, seen)
			if _, under := l.Entry(m.TaskID); under == (last.Outcome != "") {
				t.Errorf("%s: under way %v with outcome %q", name, under, last.Outcome)
			}
		}
		if last.Outcome != c.outcome || l.Len() != 0 || l.HeldOn("b") != (scheduler.Resources{}) {
			t.Errorf("%s: ends as %q, %d under way, %v held", name, last.Outcome, l.Len(), l.HeldOn("b"))
		}
		if counts := l.Counts(); counts.Outcomes[c.outcome] != 1 || fmt.Sprint(counts.Losses) != fmt.Sprint(c.losses) {
			t.Errorf("%s: %+v", name, counts)
		}
		if !l.MovedLately(start.Add(settings.Stay-time.Second), m.TaskID) || l.MovedLately(start.Add(settings.Stay), m.TaskID) {
			t.Errorf("%s: a task that moved does not stay for %v", name, settings.Stay)
		}
	}
}

// Room is given up once, and only while it is held.
func TestGiveUp(t *testing.T) {
	l := NewLedger(DefaultSettings(), start)
	l.Begin(start, anyMove("job"), 4)
	id := anyMove("job").TaskID
	if c, any := l.GiveUp(id, LossUrgent); !any || c.Loss != LossUrgent || l.HeldOn("b").CPUs != 0 {
		t.Errorf("%+v", c)
	}
	if c, any := l.GiveUp(id, LossUrgent); any {
		t.Errorf("given up twice: %+v", c)
	}
	if _, under := l.Entry(id); !under {
		t.Error("the move is forgotten")
	}
}

// However leaders change and however long they wait, moves keep to their rate, and a leader begins with
// nothing to spend.
func TestLedgersKeepToTheirRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 7))
	settings := DefaultSettings()
	const machines = 60
	perSecond := settings.perSecond(machines)
	for range 30 {
		now, l := start, NewLedger(settings, start)
		if a := l.Allowance(now, machines, 0); a.Moves != 0 {
			t.Fatalf("%d moves at once", a.Moves)
		}
		begun := 0
		for now.Sub(start) < 5*time.Minute {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if rng.IntN(12) == 0 {
				l = NewLedger(settings, now)
			}
			others := rng.IntN(3)
			a := l.Allowance(now, machines, others)
			if a.Moves+l.Len()+others > max(settings.inFlight(machines), l.Len()+others) || a.InTeam > settings.inTeam(machines) {
				t.Fatalf("%+v with %d and %d under way", a, l.Len(), others)
			}
			for range a.Moves {
				m := anyMove(fmt.Sprint(begun))
				l.Begin(now, m, 4)
				l.Observe(now, m.TaskID, Seen{Completed: true})
				begun++
			}
		}
		if most := int(perSecond*now.Sub(start).Seconds()) + 1; begun > most {
			t.Fatalf("%d moves in five minutes, %d at most", begun, most)
		}
	}
}

// What is forgotten is what has stayed for long enough.
func TestSweep(t *testing.T) {
	l := NewLedger(DefaultSettings(), start)
	for i, at := range []time.Duration{0, time.Minute} {
		m := anyMove(fmt.Sprint(i))
		l.Begin(start.Add(at), m, 4)
		l.Observe(start.Add(at), m.TaskID, Seen{Completed: true})
	}
	l.Sweep(start.Add(l.settings.Stay + time.Second))
	if len(l.moved) != 1 {
		t.Errorf("%d are kept", len(l.moved))
	}
}
