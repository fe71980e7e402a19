package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"pumicefront/cells"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// The leader's part of spilling over: what it asks other cells for as a home, and answers as a
// holder. Every step rests on what is recorded; package cells decides what may follow.

// Intervals and bounds of the talk between cells.
const (
	cellInterval    = 500 * time.Millisecond
	cellAskInterval = 2 * time.Second  // what is open is asked for again
	cellRetryMost   = 30 * time.Second // the longest pause after calls without an answer
	cellFresh       = 10 * time.Second // a cell that answered later is offered nothing
	cellBatch       = 100              // messages in one call
)

// cellSide is nil where operators have not switched it on.
type cellSide struct {
	*leader
	links     map[cells.Cell]*cellLink
	fences    map[string]*keptFence // by key
	floors    map[cells.Cell]*keptFloor
	told      map[cells.Cell]cells.Epoch // the floors that homes have told this leader, in answer to its challenge
	challenge cells.Challenge            // of this leader
	accepting map[string]acceptance      // by job: what may be written and is not seen yet
	ranAt     time.Time
	rewriting map[string]bool      // headers whose write is under way
	cameBack  map[string]time.Time // own jobs that were elsewhere, since when they are not
	idle      map[string]time.Time // others' jobs of which nothing is in force, since when
}

// cellLink is the way to another cell.
type cellLink struct {
	name     cells.Cell
	asking   bool
	askAt    time.Time // when it is asked next
	answered time.Time
	failures int
	room     float64         // in cores, that it lent when it answered, less what was granted since
	sent     cells.Challenge // the last one that it has sent
}

// keptFence is a fence as it is in the state service.
type keptFence struct {
	record  cells.HolderRecord
	version uint64
	unsure  bool // its version is not known
}

func newCellSide(l *leader) *cellSide {
	if l.c.op.Cell == nil {
		return nil
	}
	s := &cellSide{leader: l, links: map[cells.Cell]*cellLink{}, fences: map[string]*keptFence{},
		floors: map[cells.Cell]*keptFloor{}, told: map[cells.Cell]cells.Epoch{}, rewriting: map[string]bool{}, cameBack: map[string]time.Time{}, idle: map[string]time.Time{},
		challenge: cells.Challenge(l.c.rng.Uint64() | 1), accepting: map[string]acceptance{}}
	for _, p := range l.c.op.Cell.Peers {
		s.links[cells.Cell(p.Name)] = &cellLink{name: cells.Cell(p.Name)}
	}
	return s
}

// leadingCell is the side of a leader that may record something now; nil: this controller is none.
func (c *Core) leadingCell() *cellSide {
	if l := c.lead; l != nil && l.recovered && c.entitled() && c.now.Before(l.authority) {
		return l.cells
	}
	return nil
}

func (s *cellSide) self() cells.Cell { return cells.Cell(s.c.op.Cell.Name) }

// ready reports whether every controller of this cell knows that jobs go from cell to cell.
func (s *cellSide) ready() bool { return s.c.allRun(firstVersionWithCells) }

// run asks the other cells for what is recorded here, and decides what else should go to them.
func (s *cellSide) run() {
	if s == nil || s.c.now.Sub(s.ranAt) < cellInterval || !s.c.now.Before(s.authority) || !s.ready() {
		return
	}
	s.ranAt = s.c.now
	open := s.openGrants()
	s.takeFromGone(open)
	s.spill()
	s.giveBackWaiting()
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		s.ask(s.links[name], open)
	}
}

// openGrants lists the home's records of jobs that are granted, oldest epoch first.
func (s *cellSide) openGrants() []cells.HomeRecord {
	var open []cells.HomeRecord
	for id := range s.c.control.cells.granted {
		open = append(open, homeRecord(id, s.c.control.headers[id]))
	}
	slices.SortFunc(open, func(a, b cells.HomeRecord) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return open
}

// ask sends a cell what the records ask it for. A cell that doesn't answer is asked more seldom.
func (s *cellSide) ask(link *cellLink, open []cells.HomeRecord) {
	if link.asking || s.c.now.Before(link.askAt) {
		return
	}
	open = s.withoutGone(open)
	call := CellCall{ID: s.c.id(), To: link.name, Floor: cells.Floor(open, link.name, s.c.control.epoch), Challenge: link.sent}
	for _, r := range open {
		if m, due := r.Message(s.self()); due && r.Holder == link.name && len(call.Messages) < cellBatch {
			msg := CellMessage{Message: m}
			if m.Kind == cells.KindOffer {
				spec := s.c.control.headers[r.Job].Job
				msg.Spec = &spec
			}
			call.Messages = append(call.Messages, msg)
		}
	}
	link.asking = true
	s.c.cellCalls[call.ID] = func(r CellReply) {
		if s.c.lead == s.leader {
			s.answered(link, r)
		}
	}
	s.c.emit(call)
}

// answered applies what another cell has on record.
func (s *cellSide) answered(link *cellLink, r CellReply) {
	link.asking = false
	if !r.OK {
		link.failures++
		pause := min(cellAskInterval<<min(link.failures, 5), cellRetryMost)
		link.askAt = s.c.now.Add(pause/2 + time.Duration(s.c.rng.Int64N(int64(pause/2)+1)))
		return
	}
	link.failures, link.answered, link.askAt, link.room = 0, s.c.now, s.c.now.Add(cellAskInterval), r.Room
	if r.Challenge != link.sent { // another leader: it starts and lends nothing before it has this back
		link.sent, link.askAt = r.Challenge, s.c.now
	}
	for _, m := range r.Messages {
		if h := s.c.control.headers[m.Job]; h != nil && h.Grant != nil && m.From == link.name && m.To == s.self() {
			s.applyStatus(m.Message, h)
		}
	}
}

// applyStatus moves a grant on by what its holder has recorded.
func (s *cellSide) applyStatus(m cells.Message, h *headerRecord) {
	next, changed := homeRecord(m.Job, h).Apply(m)
	j := s.jobs[m.Job]
	if !changed || j == nil || next.State == cells.HomeHeld { // that it is held is not worth a write
		return
	}
	s.c.log(slog.LevelInfo, "grant over", "job", m.Job, "cell", m.From, "epoch", m.Epoch, "done", next.Done(), "cancelled", next.Cancelled())
	if next.Done() { // its final record takes the place of the header, and of the grant in it
		for t := range j.spec.Tasks {
			j.state.Accumulate(t, reduction.Succeeded)
		}
		s.settle(j)
		return
	}
	s.cameBack[m.Job] = s.c.now
	s.rewriteHeader(m.Job, withHome(*h, next), nil, nil)
}

// rewriteHeader writes a job's header anew, on the condition that it is as it was read. Its watch
// tells what became of it; what is not written is decided again. It reports whether the write was sent.
func (s *cellSide) rewriteHeader(id string, h headerRecord, conds []wire.Cond, more []wire.Change) bool {
	if s.rewriting[id] {
		return false
	}
	if !s.budget.allows(s.c.now, 1+len(more), true) {
		s.ranAt = time.Time{} // again with the next step, before other writes use the budget up
		return false
	}
	s.budget.spend(s.c.now, 1+len(more), true)
	s.rewriting[id] = true
	set := put(headerKey(id), h)
	txn := wire.Txn{
		If:   append([]wire.Cond{s.leadershipCondition(), {Key: headerKey(id), Version: s.c.control.versions[headerKey(id)]}}, conds...),
		Then: append([]wire.Change{set}, more...),
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		delete(s.rewriting, id)
		s.acceptanceAnswered(id, r.Status)
		if r.Status == http.StatusOK {
			s.ranAt = time.Time{} // the next job need not wait for the interval
			for _, change := range txn.Then {
				if change.Put != "" {
					s.c.written(wire.Event{Put: change.Put, Value: change.Value, Version: r.Txn.Revision})
				}
			}
		}
	})
	return true
}

// forget drops what is kept of a job that is over.
func (s *cellSide) forget(id string) {
	if s != nil {
		delete(s.cameBack, id)
		delete(s.idle, id)
		delete(s.accepting, id)
	}
}
