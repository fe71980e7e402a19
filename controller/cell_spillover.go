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

// The leader's part of spillover between cells. As the home of a job, it grants the job to another cell, the
// holder, in a new epoch, and sends offers and recalls; as a holder, it answers with what it has recorded. A
// holder records the end of an epoch as a fence: no grant at or below it is accepted any more. A home's floor is the
// epoch up to which all its grants to a holder have ended; once recorded, it replaces the fences below it. Every
// step is derived from the records in the state service alone; package cells defines which steps are permitted.

// Intervals and limits of the calls between cells.
const (
	cellReconcileInterval = 500 * time.Millisecond
	cellCallInterval      = 2 * time.Second  // between calls to a cell, which repeat the messages of open grants
	cellMaxBackoff        = 30 * time.Second // longest backoff after failed calls
	cellReplyMaxAge       = 10 * time.Second // a cell that last answered longer ago is granted nothing
	maxCellMessages       = 100              // in one call
)

// spilloverManager is the leader's state of the transfers from and to other cells. It is nil where spillover is not
// configured.
type spilloverManager struct {
	*leader
	links               map[cells.Cell]*cellLink
	fences              map[string]*cachedFence // by key
	floors              map[cells.Cell]*cachedFloor
	confirmedFloors     map[cells.Cell]cells.Epoch   // received from homes in calls that carried this leader's challenge
	challenge           cells.Challenge              // drawn by this leader at its election
	pendingAcceptances  map[string]pendingAcceptance // by job ID: acceptances that may have been written but are not observed yet
	lastReconcile       time.Time
	headerWriteInFlight map[string]bool      // by job ID
	returnedAt          map[string]time.Time // by job ID: when an own job came back from another cell
	idleSince           map[string]time.Time // by job ID: since when a job of another cell has had no attempt
}

// cellLink is the state of the calls to another cell.
type cellLink struct {
	name           cells.Cell
	callInFlight   bool
	nextCallAt     time.Time // earliest time of the next call
	lastReplyAt    time.Time
	failures       int             // failed calls in a row
	availableCores float64         // in its last answer, less the jobs granted to it since
	lastChallenge  cells.Challenge // last challenge received from the cell
}

// cachedFence is a fence as recorded in the state service.
type cachedFence struct {
	record         cells.HolderRecord
	version        uint64
	versionUnknown bool // a write or read is in flight: the fence must not be used
}

func newSpilloverManager(l *leader) *spilloverManager {
	if l.c.op.Cell == nil {
		return nil
	}
	s := &spilloverManager{leader: l, links: map[cells.Cell]*cellLink{}, fences: map[string]*cachedFence{},
		floors: map[cells.Cell]*cachedFloor{}, confirmedFloors: map[cells.Cell]cells.Epoch{}, headerWriteInFlight: map[string]bool{}, returnedAt: map[string]time.Time{}, idleSince: map[string]time.Time{},
		challenge: cells.Challenge(l.c.rng.Uint64() | 1), pendingAcceptances: map[string]pendingAcceptance{}}
	for _, p := range l.c.op.Cell.Peers {
		s.links[cells.Cell(p.Name)] = &cellLink{name: cells.Cell(p.Name)}
	}
	return s
}

// activeSpilloverManager returns the spillover manager of this controller if it is a recovered leader that may write
// to the state service now, and nil otherwise.
func (c *Core) activeSpilloverManager() *spilloverManager {
	if l := c.lead; l != nil && l.recovered && c.hasAuthority() && c.now.Before(l.authority) {
		return l.spillover
	}
	return nil
}

func (s *spilloverManager) self() cells.Cell { return cells.Cell(s.c.op.Cell.Name) }

// ready reports whether every controller of this cell runs a version that supports spillover.
func (s *spilloverManager) ready() bool { return s.c.allMembersRun(firstVersionWithCells) }

// reconcile reconciles the grants once per interval: it reclaims jobs from cells declared gone, grants a waiting
// job, returns other cells' jobs that have waited too long in this cell, and calls the other cells.
func (s *spilloverManager) reconcile() {
	if s == nil || s.c.now.Sub(s.lastReconcile) < cellReconcileInterval || !s.c.now.Before(s.authority) || !s.ready() {
		return
	}
	s.lastReconcile = s.c.now
	open := s.openGrants()
	s.reclaimFromDeclaredGone(open)
	s.spill()
	s.returnWaitingJobs()
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		s.call(s.links[name], open)
	}
}

// openGrants lists the home's records of the jobs that are granted to other cells, oldest epoch first.
func (s *spilloverManager) openGrants() []cells.HomeRecord {
	var open []cells.HomeRecord
	for id := range s.c.watchCache.transfers.granted {
		open = append(open, homeRecord(id, s.c.watchCache.headers[id]))
	}
	slices.SortFunc(open, func(a, b cells.HomeRecord) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return open
}

// call sends a cell the messages that follow from the open grants. After failed calls it backs off.
func (s *spilloverManager) call(link *cellLink, open []cells.HomeRecord) {
	if link.callInFlight || s.c.now.Before(link.nextCallAt) {
		return
	}
	open = s.excludeDeclaredGone(open)
	call := CellCall{ID: s.c.id(), To: link.name, Floor: cells.Floor(open, link.name, s.c.watchCache.epoch), Challenge: link.lastChallenge}
	for _, r := range open {
		if m, hasMessage := r.Message(s.self()); hasMessage && r.Holder == link.name && len(call.Messages) < maxCellMessages {
			msg := CellMessage{Message: m}
			if m.Kind == cells.KindOffer {
				spec := s.c.watchCache.headers[r.Job].Job
				msg.Spec = &spec
			}
			call.Messages = append(call.Messages, msg)
		}
	}
	link.callInFlight = true
	s.c.cellCalls[call.ID] = func(r CellReply) {
		if s.c.lead == s.leader {
			s.handleReply(link, r)
		}
	}
	s.c.emit(call)
}

// handleReply applies the statuses that another cell has recorded, or schedules a retry after a failed call.
func (s *spilloverManager) handleReply(link *cellLink, r CellReply) {
	link.callInFlight = false
	if !r.OK {
		link.failures++
		pause := min(cellCallInterval<<min(link.failures, 5), cellMaxBackoff)
		link.nextCallAt = s.c.now.Add(pause/2 + time.Duration(s.c.rng.Int64N(int64(pause/2)+1)))
		return
	}
	link.failures, link.lastReplyAt, link.nextCallAt, link.availableCores = 0, s.c.now, s.c.now.Add(cellCallInterval), 0
	if r.AvailableCores > 0 { // NaN counts as none
		link.availableCores = r.AvailableCores
	}
	if r.Challenge != link.lastChallenge { // a new leader, which neither starts foreign jobs nor lends cores until a call carries its challenge
		link.lastChallenge, link.nextCallAt = r.Challenge, s.c.now
	}
	for _, m := range r.Messages {
		if h := s.c.watchCache.headers[m.Job]; h != nil && h.Grant != nil && m.From == link.name && m.To == s.self() {
			s.applyStatus(m.Message, h)
		}
	}
}

// applyStatus applies a holder's recorded status to the grant of a job.
func (s *spilloverManager) applyStatus(m cells.Message, h *headerRecord) {
	next, changed := homeRecord(m.Job, h).Apply(m)
	j := s.jobs[m.Job]
	if !changed || j == nil || next.State == cells.HomeHeld { // the transition to held is not recorded, to save a write
		return
	}
	s.c.log(slog.LevelInfo, "grant over", "job", m.Job, "cell", m.From, "epoch", m.Epoch, "done", next.Done(), "cancelled", next.Cancelled())
	if next.Done() { // its final record replaces the header and the grant in it
		for t := range j.spec.Tasks {
			j.state.Accumulate(t, reduction.Succeeded)
		}
		s.finalizeIfSettled(j)
		return
	}
	s.returnedAt[m.Job] = s.c.now
	s.rewriteHeader(m.Job, withHome(*h, next), nil, nil)
}

// rewriteHeader replaces a job's header, on the condition that its version is the one last observed. A confirmed
// write is applied at once; otherwise the watch shows whether it was applied, and a step that was
// not written is derived again by a later reconciliation or message. rewriteHeader reports whether the write
// was sent.
func (s *spilloverManager) rewriteHeader(id string, h headerRecord, extraConds []wire.Cond, extraChanges []wire.Change) bool {
	if s.headerWriteInFlight[id] {
		return false
	}
	if !s.budget.allows(s.c.now, 1+len(extraChanges), true) {
		s.lastReconcile = time.Time{} // retry in the next step, before other writes use up the budget
		return false
	}
	s.budget.spend(s.c.now, 1+len(extraChanges), true)
	s.headerWriteInFlight[id] = true
	headerPut := put(headerKey(id), h)
	txn := wire.Txn{
		If:   append([]wire.Cond{s.leadershipCondition(), {Key: headerKey(id), Version: s.c.watchCache.versions[headerKey(id)]}}, extraConds...),
		Then: append([]wire.Change{headerPut}, extraChanges...),
	}
	s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		delete(s.headerWriteInFlight, id)
		s.handleAcceptanceReply(id, r.Status)
		if r.Status == http.StatusOK {
			s.lastReconcile = time.Time{} // the next reconciliation, for the next job, does not wait for the interval
			for _, change := range txn.Then {
				if change.Put != "" {
					s.c.applyOwnChange(wire.Event{Put: change.Put, Value: change.Value, Version: r.Txn.Revision})
				}
			}
		}
	})
	return true
}

// dropJob drops the spillover state of a job that has ended.
func (s *spilloverManager) dropJob(id string) {
	if s != nil {
		delete(s.returnedAt, id)
		delete(s.idleSince, id)
		delete(s.pendingAcceptances, id)
	}
}
