package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pumicefront/scheduler"
)

// Phase is how far a move has come.
type Phase uint8

// The phases of a move.
const (
	Stopping Phase = iota // the old attempt is in force
	Waiting               // it is gone, the new one is not placed
	Starting              // the new one is placed and not seen running
)

// String names the phase.
func (p Phase) String() string { return [...]string{"stopping", "waiting", "starting"}[p] }

// MarshalText spells the phase in a status.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase from a status.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, known := range []Phase{Stopping, Waiting, Starting} {
		if known.String() == string(text) {
			*p = known
		}
	}
	return nil
}

// Outcome is how a move has ended.
type Outcome string

// The outcomes of moves.
const (
	Moved     Outcome = "moved"     // the task runs at the destination
	Diverted  Outcome = "diverted"  // it runs on another machine
	Completed Outcome = "completed" // it was done before it was stopped
	Cancelled Outcome = "cancelled" // its job was
)

// Loss is why held room was given up.
type Loss string

// The reasons for giving up held room.
const (
	LossDestination Loss = "destination" // it can't take the task any more
	LossTimeOut     Loss = "time-out"    // it was held for longer than Settings.Hold
	LossUrgent      Loss = "urgent"      // what is urgent has taken it
	LossOver        Loss = "over"        // the move is over
)

// Entry is a move under way.
type Entry struct {
	Move
	Attempt uint64    // the one that is moved
	Phase   Phase     // how far the move has come
	Held    bool      // room is held for it at its destination
	Began   time.Time // when the move was begun
}

// Seen is what is known of a task that is being moved.
type Seen struct {
	Cancelled, Completed bool   // its job is cancelled; the task is completed
	InForce              bool   // an attempt of it is in force
	Attempt              uint64 // its number
	Machine              string // where it is
	Running              bool   // it is known to run
	DestinationLost      bool   // the destination can take nothing any more
}

// Change is what has become of a move.
type Change struct {
	Entry
	Was     Phase   // as it was before
	Outcome Outcome // empty: it is under way
	Loss    Loss    // empty: no room was given up
}

// Ledger follows the moves under way, holds room for them, and bounds them over time. It begins with
// nothing to spend, so that many leaders in a row move no more than one would.
type Ledger struct {
	settings   Settings
	entries    map[TaskID]*Entry
	moved      map[TaskID]time.Time // when tasks were moved last
	budget     float64              // moves that may be begun
	refilledAt time.Time
	counts     Counts
}

// Counts are of the moves of one leader.
type Counts struct {
	Begun    int             `json:"begun"`              // moves begun
	Outcomes map[Outcome]int `json:"outcomes,omitempty"` // moves that are over, by outcome
	Losses   map[Loss]int    `json:"losses,omitempty"`   // held rooms that were given up while the move was under way
}

// NewLedger returns a ledger with nothing to spend.
func NewLedger(s Settings, now time.Time) *Ledger {
	return &Ledger{settings: s, entries: map[TaskID]*Entry{}, moved: map[TaskID]time.Time{}, refilledAt: now,
		counts: Counts{Outcomes: map[Outcome]int{}, Losses: map[Loss]int{}}}
}

// burstSeconds is for how long moves that were not begun are saved up.
const burstSeconds = 5

// Allowance is what may be begun now in a fleet of so many machines, where others moves are under way
// that the ledger doesn't know, an earlier leader's.
func (l *Ledger) Allowance(now time.Time, machines, others int) *Allowance {
	rate := l.settings.perSecond(machines)
	l.budget = math.Min(l.budget+rate*now.Sub(l.refilledAt).Seconds(), math.Max(1, rate*burstSeconds))
	l.refilledAt = now
	a := &Allowance{InTeam: l.settings.inTeam(machines), Teams: map[string]int{}, Jobs: map[string]bool{}}
	for _, e := range l.entries {
		a.Teams[e.Team]++
		a.Jobs[e.Job] = true
	}
	a.Moves = max(0, min(int(l.budget), l.settings.inFlight(machines)-len(l.entries)-others))
	return a
}

// Begin enters a move: from now on room is held for it.
func (l *Ledger) Begin(now time.Time, m Move, attempt uint64) {
	l.budget--
	l.counts.Begun++
	l.moved[m.TaskID] = now
	l.entries[m.TaskID] = &Entry{Move: m, Attempt: attempt, Held: true, Began: now}
}

// MovedLately reports whether a task was moved not long ago.
func (l *Ledger) MovedLately(now time.Time, id TaskID) bool {
	at, moved := l.moved[id]
	return moved && now.Sub(at) < l.settings.Stay
}

// Entry returns the move of a task, if it is being moved.
func (l *Ledger) Entry(id TaskID) (Entry, bool) {
	e := l.entries[id]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries lists the moves under way by task.
func (l *Ledger) Entries() []Entry {
	all := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	return all
}

// Len is how many moves are under way.
func (l *Ledger) Len() int { return len(l.entries) }

// Counts returns a copy of the counts so far.
func (l *Ledger) Counts() Counts {
	return Counts{Begun: l.counts.Begun, Outcomes: maps.Clone(l.counts.Outcomes), Losses: maps.Clone(l.counts.Losses)}
}

// HeldOn is the room that is held on a machine.
func (l *Ledger) HeldOn(machine string) scheduler.Resources {
	held := scheduler.Resources{}
	for _, e := range l.entries {
		if e.Held && e.To == machine {
			held = held.Add(e.Each, 1)
		}
	}
	return held
}

// GiveUp gives up the room that is held for a task.
func (l *Ledger) GiveUp(id TaskID, why Loss) (Change, bool) {
	e := l.entries[id]
	if e == nil || !e.Held {
		return Change{}, false
	}
	e.Held = false
	l.counts.Losses[why]++
	return Change{Entry: *e, Was: e.Phase, Loss: why}, true
}

// Observe follows a move by what is known of its task, and reports whether something has changed.
func (l *Ledger) Observe(now time.Time, id TaskID, seen Seen) (Change, bool) {
	e := l.entries[id]
	if e == nil {
		return Change{}, false
	}
	was := *e
	outcome := e.advance(seen)
	c := Change{Entry: *e, Was: was.Phase, Outcome: outcome}
	switch {
	case outcome != "":
		l.counts.Outcomes[outcome]++
		delete(l.entries, id)
		e.Held = false
	case e.Phase == Starting:
		e.Held = false // the attempt itself takes the room, wherever it is
	case !e.Held:
	case seen.DestinationLost:
		c.Loss = LossDestination
	case now.Sub(e.Began) > l.settings.Hold:
		c.Loss = LossTimeOut
	}
	if c.Loss != "" {
		l.GiveUp(id, c.Loss)
	}
	if was.Held && !e.Held && c.Loss == "" {
		c.Loss = LossOver
	}
	c.Held = e.Held
	return c, *e != was || outcome != ""
}

// advance takes a move to the phase that is seen, and returns its outcome if it is over.
func (e *Entry) advance(seen Seen) Outcome {
	switch {
	case seen.Cancelled:
		return Cancelled
	case seen.Completed:
		return Completed
	case !seen.InForce:
		e.Phase = Waiting
	case seen.Attempt == e.Attempt:
		e.Phase = Stopping
	case !seen.Running:
		e.Phase = Starting
	case seen.Machine == e.To:
		return Moved
	default:
		return Diverted
	}
	return ""
}

// Sweep forgets moves that don't keep their tasks any more.
func (l *Ledger) Sweep(now time.Time) {
	for id, at := range l.moved {
		if now.Sub(at) >= l.settings.Stay && l.entries[id] == nil {
			delete(l.moved, id)
		}
	}
}
