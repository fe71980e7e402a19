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
	Completed Outcome = "completed" // the task completed before a new attempt of it was observed running
	Cancelled Outcome = "cancelled" // the task's job was cancelled
)

// ReleaseReason is the reason why reserved room was released.
type ReleaseReason string

// The reasons for releasing reserved room.
const (
	ReleasedDestinationLost ReleaseReason = "destination" // the destination can't run the task any more
	ReleasedTimeOut         ReleaseReason = "time-out"    // the room was reserved for longer than Settings.Hold
	ReleasedForUrgent       ReleaseReason = "urgent"      // an urgent task took the room
	ReleasedMoveEnded       ReleaseReason = "over"        // the move has ended, or its new attempt occupies its own room
)

// ActiveMove is a move that has started and has not ended.
type ActiveMove struct {
	Move
	Attempt   uint64    // number of the attempt that is moved away
	Phase     Phase     // progress of the move
	Reserved  bool      // room is reserved for the task at its destination
	StartedAt time.Time // when the move started
}

// Observation is the observed state of a task that is being moved.
type Observation struct {
	Cancelled, Completed bool   // the task's job is cancelled; the task is completed
	Active               bool   // an attempt of the task is active
	Attempt              uint64 // number of the active attempt
	Machine              string // machine of the active attempt
	Running              bool   // the active attempt is known to run
	DestinationLost      bool   // the destination can't run any task now
}

// Change is a change of an active move. It embeds the state after the change.
type Change struct {
	ActiveMove
	PreviousPhase Phase         // the phase before the change
	Outcome       Outcome       // empty if the move is still active
	ReleaseReason ReleaseReason // empty if no room was released
}

// MoveTracker tracks the active moves, reserves room for them and limits their rate. It starts with an empty
// budget, so that several leaders in quick succession start no more moves than a single one would.
type MoveTracker struct {
	settings   Settings
	moves      map[TaskID]*ActiveMove
	movedAt    map[TaskID]time.Time // when the last move of each task started
	budget     float64              // moves that the rate limit permits now; a token bucket
	refilledAt time.Time
	counts     Counts
}

// Counts are the numbers of moves since the leader was elected.
type Counts struct {
	Started  int                   `json:"begun"`              // moves started
	Outcomes map[Outcome]int       `json:"outcomes,omitempty"` // moves that have ended, by outcome
	Releases map[ReleaseReason]int `json:"losses,omitempty"`   // reservations that were released while their move was active, by reason
}

// NewMoveTracker returns a tracker without moves and with an empty budget.
func NewMoveTracker(s Settings, now time.Time) *MoveTracker {
	return &MoveTracker{settings: s, moves: map[TaskID]*ActiveMove{}, movedAt: map[TaskID]time.Time{}, refilledAt: now,
		counts: Counts{Outcomes: map[Outcome]int{}, Releases: map[ReleaseReason]int{}}}
}

// burstSeconds is the time for which unused budget accumulates, in seconds.
const burstSeconds = 5

// Allowance returns the limits on the moves to start now in a fleet of the given number of machines. others
// is the number of active moves that the tracker does not know because an earlier leader started them.
func (t *MoveTracker) Allowance(now time.Time, machines, others int) *Allowance {
	rate := t.settings.movesPerSecond(machines)
	t.budget = math.Min(t.budget+rate*now.Sub(t.refilledAt).Seconds(), math.Max(1, rate*burstSeconds))
	t.refilledAt = now
	a := &Allowance{MaxPerTeam: t.settings.maxMovesPerTeam(machines), Teams: map[string]int{}, Jobs: map[string]bool{}}
	for _, move := range t.moves {
		a.Teams[move.Team]++
		a.Jobs[move.Job] = true
	}
	a.Moves = max(0, min(int(t.budget), t.settings.maxMovesInFlight(machines)-len(t.moves)-others))
	return a
}

// Start adds a move of the given attempt and reserves room at its destination.
func (t *MoveTracker) Start(now time.Time, m Move, attempt uint64) {
	t.budget--
	t.counts.Started++
	t.movedAt[m.TaskID] = now
	t.moves[m.TaskID] = &ActiveMove{Move: m, Attempt: attempt, Reserved: true, StartedAt: now}
}

// MovedRecently reports whether the last move of a task started less than Settings.Stay ago.
func (t *MoveTracker) MovedRecently(now time.Time, id TaskID) bool {
	at, moved := t.movedAt[id]
	return moved && now.Sub(at) < t.settings.Stay
}

// ActiveMove returns the move of a task, and false if the task is not being moved.
func (t *MoveTracker) ActiveMove(id TaskID) (ActiveMove, bool) {
	move := t.moves[id]
	if move == nil {
		return ActiveMove{}, false
	}
	return *move, true
}

// ActiveMoves returns the active moves, sorted by task.
func (t *MoveTracker) ActiveMoves() []ActiveMove {
	all := make([]ActiveMove, 0, len(t.moves))
	for _, move := range t.moves {
		all = append(all, *move)
	}
	slices.SortFunc(all, func(a, b ActiveMove) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	return all
}

// Len returns the number of active moves.
func (t *MoveTracker) Len() int { return len(t.moves) }

// Counts returns a copy of the counts so far.
func (t *MoveTracker) Counts() Counts {
	return Counts{Started: t.counts.Started, Outcomes: maps.Clone(t.counts.Outcomes), Releases: maps.Clone(t.counts.Releases)}
}

// ReservedOn returns the resources that are reserved on a machine.
func (t *MoveTracker) ReservedOn(machine string) scheduler.Resources {
	reserved := scheduler.Resources{}
	for _, move := range t.moves {
		if move.Reserved && move.To == machine {
			reserved = reserved.Add(move.Resources, 1)
		}
	}
	return reserved
}

// ReleaseReservation releases the room that is reserved for a task. It reports false if there is none.
func (t *MoveTracker) ReleaseReservation(id TaskID, reason ReleaseReason) (Change, bool) {
	move := t.moves[id]
	if move == nil || !move.Reserved {
		return Change{}, false
	}
	move.Reserved = false
	t.counts.Releases[reason]++
	return Change{ActiveMove: *move, PreviousPhase: move.Phase, ReleaseReason: reason}, true
}

// Observe updates the move of a task from the observed state of the task, and reports whether the move
// changed. It releases reserved room that is no longer needed or was reserved for too long.
func (t *MoveTracker) Observe(now time.Time, id TaskID, observed Observation) (Change, bool) {
	move := t.moves[id]
	if move == nil {
		return Change{}, false
	}
	was := *move
	outcome := move.advance(observed)
	c := Change{ActiveMove: *move, PreviousPhase: was.Phase, Outcome: outcome}
	switch {
	case outcome != "":
		t.counts.Outcomes[outcome]++
		delete(t.moves, id)
		move.Reserved = false
	case move.Phase == Starting:
		move.Reserved = false // the new attempt occupies its own room, on whichever machine it is
	case !move.Reserved:
	case observed.DestinationLost:
		c.ReleaseReason = ReleasedDestinationLost
	case now.Sub(move.StartedAt) > t.settings.Hold:
		c.ReleaseReason = ReleasedTimeOut
	}
	if c.ReleaseReason != "" {
		t.ReleaseReservation(id, c.ReleaseReason)
	}
	if was.Reserved && !move.Reserved && c.ReleaseReason == "" {
		c.ReleaseReason = ReleasedMoveEnded
	}
	c.Reserved = move.Reserved
	return c, *move != was || outcome != ""
}

// advance sets the phase of a move to the observed one, and returns the outcome if the move has ended.
func (move *ActiveMove) advance(observed Observation) Outcome {
	switch {
	case observed.Cancelled:
		return Cancelled
	case observed.Completed:
		return Completed
	case !observed.Active:
		move.Phase = Waiting
	case observed.Attempt == move.Attempt:
		move.Phase = Stopping
	case !observed.Running:
		move.Phase = Starting
	case observed.Machine == move.To:
		return Moved
	default:
		return Diverted
	}
	return ""
}

// Sweep removes the records of moves that have ended and started Settings.Stay ago or earlier: they no
// longer keep their tasks from being moved.
func (t *MoveTracker) Sweep(now time.Time) {
	for id, at := range t.movedAt {
		if now.Sub(at) >= t.settings.Stay && t.moves[id] == nil {
			delete(t.movedAt, id)
		}
	}
}
