package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pumicefront/scheduler"
)

// Phase is the progress of a move.
type Phase uint8

// The phases of a move.
const (
	Stopping Phase = iota // the old attempt is still active
	Waiting               // the old attempt has ended, the new one is not placed yet
	Starting              // the new attempt is placed, but not known to run yet
)

// String returns the name of the phase.
func (p Phase) String() string { return [...]string{"stopping", "waiting", "starting"}[p] }

// MarshalText writes the name of the phase, for a Status.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name of a phase from a Status. An unknown name leaves the phase unchanged.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, known := range []Phase{Stopping, Waiting, Starting} {
		if known.String() == string(text) {
			*p = known
		}
	}
	return nil
}

// Outcome is the result of a move that has ended.
type Outcome string

// The outcomes of moves.
const (
	Moved     Outcome = "moved"     // the task runs at the destination
	Diverted  Outcome = "diverted"  // the task runs on another machine than the destination
	Completed Outcome = "completed" // the task completed before it was stopped
	Cancelled Outcome = "cancelled" // the task's job was cancelled
)

// Loss is the reason why reserved room was released.
type Loss string

// The reasons for releasing reserved room.
const (
	LossDestination Loss = "destination" // the destination can't run the task any more
	LossTimeOut     Loss = "time-out"    // the room was reserved for longer than Settings.Hold
	LossUrgent      Loss = "urgent"      // an urgent task took the room
	LossOver        Loss = "over"        // the move has ended, or its new attempt occupies its own room
)

// Entry is a move under way.
type Entry struct {
	Move
	Attempt uint64    // number of the attempt that is moved away
	Phase   Phase     // progress of the move
	Held    bool      // room is reserved for the task at its destination
	Began   time.Time // when the move started
}

// Seen is the observed state of a task that is being moved.
type Seen struct {
	Cancelled, Completed bool   // the task's job is cancelled; the task is completed
	InForce              bool   // an attempt of the task is active
	Attempt              uint64 // number of the active attempt
	Machine              string // machine of the active attempt
	Running              bool   // the active attempt is known to run
	DestinationLost      bool   // the destination can't run any task now
}

// Change is a change of a move under way. It embeds the state after the change.
type Change struct {
	Entry
	Was     Phase   // the phase before the change
	Outcome Outcome // empty if the move is still under way
	Loss    Loss    // empty if no room was released
}

// Ledger tracks the moves under way, reserves room for them and limits their rate. It starts with an empty
// budget, so that several leaders in quick succession start no more moves than a single one would.
type Ledger struct {
	settings   Settings
	entries    map[TaskID]*Entry
	movedAt    map[TaskID]time.Time // when the last move of each task started
	budget     float64              // moves that the rate limit permits now; a token bucket
	refilledAt time.Time
	counts     Counts
}

// Counts are the numbers of moves since the leader took office.
type Counts struct {
	Begun    int             `json:"begun"`              // moves started
	Outcomes map[Outcome]int `json:"outcomes,omitempty"` // moves that have ended, by outcome
	Losses   map[Loss]int    `json:"losses,omitempty"`   // reservations that were released while their move was under way, by reason
}

// NewLedger returns a ledger without moves and with an empty budget.
func NewLedger(s Settings, now time.Time) *Ledger {
	return &Ledger{settings: s, entries: map[TaskID]*Entry{}, movedAt: map[TaskID]time.Time{}, refilledAt: now,
		counts: Counts{Outcomes: map[Outcome]int{}, Losses: map[Loss]int{}}}
}

// burstSeconds is the time for which unused budget accumulates, in seconds.
const burstSeconds = 5

// Allowance returns the limits on the moves to start now in a fleet of the given number of machines. others
// is the number of moves under way that the ledger does not track because an earlier leader started them.
func (l *Ledger) Allowance(now time.Time, machines, others int) *Allowance {
	rate := l.settings.movesPerSecond(machines)
	l.budget = math.Min(l.budget+rate*now.Sub(l.refilledAt).Seconds(), math.Max(1, rate*burstSeconds))
	l.refilledAt = now
	a := &Allowance{MaxPerTeam: l.settings.maxMovesPerTeam(machines), Teams: map[string]int{}, Jobs: map[string]bool{}}
	for _, e := range l.entries {
		a.Teams[e.Team]++
		a.Jobs[e.Job] = true
	}
	a.Moves = max(0, min(int(l.budget), l.settings.maxMovesInFlight(machines)-len(l.entries)-others))
	return a
}

// Begin adds a move of the given attempt and reserves room at its destination.
func (l *Ledger) Begin(now time.Time, m Move, attempt uint64) {
	l.budget--
	l.counts.Begun++
	l.movedAt[m.TaskID] = now
	l.entries[m.TaskID] = &Entry{Move: m, Attempt: attempt, Held: true, Began: now}
}

// MovedLately reports whether the last move of a task started less than Settings.Stay ago.
func (l *Ledger) MovedLately(now time.Time, id TaskID) bool {
	at, moved := l.movedAt[id]
	return moved && now.Sub(at) < l.settings.Stay
}

// Entry returns the move of a task, and false if the task is not being moved.
func (l *Ledger) Entry(id TaskID) (Entry, bool) {
	e := l.entries[id]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns the moves under way, sorted by task.
func (l *Ledger) Entries() []Entry {
	all := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	return all
}

// Len returns the number of moves under way.
func (l *Ledger) Len() int { return len(l.entries) }

// Counts returns a copy of the counts so far.
func (l *Ledger) Counts() Counts {
	return Counts{Begun: l.counts.Begun, Outcomes: maps.Clone(l.counts.Outcomes), Losses: maps.Clone(l.counts.Losses)}
}

// HeldOn returns the resources that are reserved on a machine.
func (l *Ledger) HeldOn(machine string) scheduler.Resources {
	held := scheduler.Resources{}
	for _, e := range l.entries {
		if e.Held && e.To == machine {
			held = held.Add(e.Each, 1)
		}
	}
	return held
}

// GiveUp releases the room that is reserved for a task. It reports false if there is none.
func (l *Ledger) GiveUp(id TaskID, why Loss) (Change, bool) {
	e := l.entries[id]
	if e == nil || !e.Held {
		return Change{}, false
	}
	e.Held = false
	l.counts.Losses[why]++
	return Change{Entry: *e, Was: e.Phase, Loss: why}, true
}

// Observe updates the move of a task from the observed state of the task, and reports whether the move
// changed. It releases reserved room that is no longer needed or was reserved for too long.
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
		e.Held = false // the new attempt occupies its own room, on whichever machine it is
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

// advance sets the phase of a move to the observed one, and returns the outcome if the move has ended.
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

// Sweep removes the records of moves that have ended and started Settings.Stay ago or earlier: they no
// longer keep their tasks from being moved.
func (l *Ledger) Sweep(now time.Time) {
	for id, at := range l.movedAt {
		if now.Sub(at) >= l.settings.Stay && l.entries[id] == nil {
			delete(l.movedAt, id)
		}
	}
}
