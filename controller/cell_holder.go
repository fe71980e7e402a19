package controller

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"

	"pumicefront/cells"
	"pumicefront/wire"
)

// The holder's side: jobs of other cells, which run like own ones of the lowest rank and beyond every
// guarantee, and of which nothing is told to users here.

// cellRequest answers another cell with what is on record for it; only the leader can. What a
// message changes is recorded first and told when it is asked for again.
func (c *Core) cellRequest(r CellRequest) {
	s := c.leadingCell()
	if s == nil || s.links[r.From] == nil || !s.ready() {
		c.emit(Answer{Req: r.Req, Status: http.StatusServiceUnavailable, Body: CellAnswer{}})
		return
	}
	answers := r.Challenge == s.challenge
	if answers {
		s.told[r.From] = max(s.told[r.From], r.Floor)
	}
	s.raiseFloor(r.From, r.Floor)
	answer := CellAnswer{Challenge: s.challenge}
	for _, m := range r.Messages {
		if m.From != r.From || m.To != s.self() || !wire.ValidID(m.Job) {
			continue
		}
		if status, known := s.receive(m); known {
			answer.Messages = append(answer.Messages, CellMessage{Message: status})
		}
	}
	if answers { // nothing would start here for a home that does not carry the challenge back
		answer.Room = s.lends()
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: answer})
}

// receive applies a message from a home and returns what is on record about it.
func (s *cellSide) receive(m CellMessage) (cells.Message, bool) {
	h, key := s.c.control.headers[m.Job], fenceKey(m.From, m.Job)
	held := h != nil && h.Origin != nil && h.Origin.Home == m.From
	if a, under := s.accepting[m.Job]; under && !a.doubt && !held && a.home == m.From && a.epoch == m.Epoch && m.Kind == cells.KindOffer {
		return cells.Message{}, false // it is being recorded
	}
	record := cells.HolderRecord{}
	if fence := s.fences[key]; held {
		record = holderRecord(m.Job, h)
	} else if fence != nil {
		if fence.unsure {
			return cells.Message{}, false
		}
		record = fence.record
	}
	next, changed := record.Receive(m.Message, cells.Facts{
		KnowsJob: h != nil && !held || s.finished(m.Job), KnowsTeam: m.Spec != nil && s.knowsTeam(m.Spec),
		Willing: m.Spec != nil && s.willing(m.Spec), Floor: s.floor(m.From).epoch,
	})
	if !changed {
		return next.Status(s.self()), next.State != cells.HolderNone
	}
	switch {
	case next.State == cells.HolderHolding:
		s.accept(m, next)
	case next.State == cells.HolderEnded:
		s.writeFence(key, next)
	case held:
		s.rewriteHeader(m.Job, withHolder(*h, next), nil, nil)
	}
	return cells.Message{}, false
}

// finished reports whether a job of that id is known to have run here: the write of an acceptance is
// conditional on that, whether or not it is known.
func (s *cellSide) finished(id string) bool {
	_, over := s.c.finals.jobs[id]
	return over
}

func (s *cellSide) knowsTeam(spec *wire.Job) bool {
	_, known := s.c.quotas[spec.Team]
	return known
}

// willing reports whether a job can run here and fits into the room that is lent.
func (s *cellSide) willing(spec *wire.Job) bool {
	return spec.Kind == wire.KindArray && len(s.c.types) > 0 && s.c.canRun(spec) && s.lends()+s.accepting[spec.ID].size >= s.size(spec)
}

// size is how many cores all tasks of a job take.
func (s *cellSide) size(spec *wire.Job) float64 {
	return s.c.measure.Of(jobEach(spec)) * float64(spec.Tasks)
}

// lends is how much is lent still: what operators lend, less what others' unfinished jobs take, and
// those that are being accepted.
func (s *cellSide) lends() float64 {
	left := s.c.op.Cell.LendCores
	for id, a := range s.accepting {
		if s.jobs[id] == nil {
			left -= a.size
		}
	}
	for _, j := range s.foreignJobs() {
		left -= j.sizeLeft(s.c.measure)
	}
	return max(left, 0)
}

// acceptance is an acceptance that may be on record and is not seen there yet. Its room is taken until
// its header is seen, or until it is certain that there will be none.
type acceptance struct {
	home  cells.Cell
	epoch cells.Epoch
	size  float64 // in cores
	doubt bool    // a write of it got no answer: it may be applied at any time
}

// acceptanceAnswered notes how the write of a header was answered. A refused one leaves nothing on
// record, unless an earlier one got no answer.
func (s *cellSide) acceptanceAnswered(job string, status int) {
	a, under := s.accepting[job]
	switch {
	case !under || status == http.StatusOK:
	case status == 0:
		a.doubt = true
		s.accepting[job] = a
	case !a.doubt:
		delete(s.accepting, job)
	}
}

// dropAcceptances frees the room of a home's acceptances that can't be written any more, or are over as
// soon as they are: those up to an epoch, of one job or of all.
func (s *cellSide) dropAcceptances(home cells.Cell, job string, epoch cells.Epoch) {
	for id, a := range s.accepting {
		if a.home == home && a.epoch <= epoch && (job == "" || job == id) {
			delete(s.accepting, id)
		}
	}
}

// foreignJobs lists the unfinished jobs of other cells, by home and id.
func (s *cellSide) foreignJobs() []*job {
	var all []*job
	for _, home := range slices.Sorted(maps.Keys(s.c.control.cells.foreign)) {
		for _, id := range slices.Sorted(maps.Keys(s.c.control.cells.foreign[home])) {
			if j := s.jobs[id]; j != nil {
				all = append(all, j)
			}
		}
	}
	return all
}

// accept records an acceptance in place of the fence, as the header of a job that is nobody's here.
func (s *cellSide) accept(m CellMessage, record cells.HolderRecord) {
	if m.Spec.ID != m.Job || s.rewriting[m.Job] {
		return
	}
	limits := s.c.cfg.Facts.State.Tightest()
	h := withHolder(headerRecord{Job: *m.Spec, AcceptedMS: s.c.now.UnixMilli(), PerChunk: tasksPerRecord(limits.ValueKB)}, record)
	if !fits(wire.Marshal(h), headerRoom, limits.ValueKB) {
		record.State, record.Result = cells.HolderEnded, cells.ResultRefused
		s.writeFence(fenceKey(m.From, m.Job), record)
		return
	}
	key := fenceKey(m.From, m.Job)
	// Applied late, it must not find that its fence has come and gone: the floor has changed then.
	conds := []wire.Cond{{Key: finalKey(m.Job)}, {Key: key, Version: s.fenceVersion(key)}, {Key: floorKey(m.From), Version: s.floor(m.From).version}}
	var more []wire.Change
	if s.fenceVersion(key) > 0 {
		more = append(more, wire.Change{Delete: key})
	}
	s.c.log(slog.LevelInfo, "accepting", "job", m.Job, "home", m.From, "epoch", m.Epoch)
	delete(s.fences, key)
	if s.rewriteHeader(m.Job, h, conds, more) {
		s.accepting[m.Job] = acceptance{home: m.From, epoch: m.Epoch, size: s.size(m.Spec), doubt: s.accepting[m.Job].doubt}
	}
	s.rereadFence(key) // what became of it if the acceptance is not written
}

func (s *cellSide) fenceVersion(key string) uint64 {
	if f := s.fences[key]; f != nil {
		return f.version
	}
	return 0
}

// writeFence records how an epoch has ended that was never accepted here.
func (s *cellSide) writeFence(key string, record cells.HolderRecord) {
	if f := s.fences[key]; f != nil && f.unsure || !s.budget.allows(s.c.now, 1, true) {
		return
	}
	s.budget.spend(s.c.now, 1, true)
	version := s.fenceVersion(key)
	s.fences[key] = &keptFence{version: version, unsure: true}
	// An acceptance may have been applied that is not seen yet, in place of no fence: then the header has
	// changed, and a fence beside it would end an epoch that runs here.
	header := headerKey(record.Job)
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: key, Version: version}, {Key: header, Version: s.c.control.versions[header]}},
		Then: []wire.Change{put(key, fenceRecord{record.Epoch, record.Result})},
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		if r.Status == http.StatusOK {
			s.fences[key] = &keptFence{record: record, version: r.Txn.Revision}
			s.dropAcceptances(record.Home, record.Job, record.Epoch)
			return
		}
		s.rereadFence(key)
	})
}

// rereadFence finds out what is recorded of a fence.
func (s *cellSide) rereadFence(key string) {
	s.fences[key] = &keptFence{unsure: true}
	s.findOut(key, func(it *wire.Item) {
		if it == nil {
			delete(s.fences, key)
			return
		}
		s.addFence(*it)
	})
}

// addFence takes up a fence as it is recorded.
func (s *cellSide) addFence(it wire.Item) {
	home, job, ok := strings.Cut(strings.TrimPrefix(it.Key, fencePrefix), "/")
	rec := decode[fenceRecord](it.Value)
	if !ok || rec == nil {
		return
	}
	s.dropAcceptances(cells.Cell(home), job, rec.Epoch)
	s.fences[it.Key] = &keptFence{version: it.Version, record: cells.HolderRecord{
		Home: cells.Cell(home), Job: job, Epoch: rec.Epoch, State: cells.HolderEnded, Result: rec.Result}}
}

// mayStart reports whether tasks of a job may be placed by this leader. Those of another cell's job
// only once that cell has told this leader, in answer to its challenge, that the grant is open: after an
// outage it may have been declared over, and a copy of an earlier call would not know of that. What runs already is left to run until it is known to be.
func (s *cellSide) mayStart(j *job) bool {
	if j.origin == nil {
		return true
	}
	if s == nil {
		return false
	}
	floor, heard := s.told[j.origin.Home]
	return heard && j.origin.Epoch > floor
}

// keptFloor is a home's floor as it is recorded here.
type keptFloor struct {
	epoch   cells.Epoch
	version uint64
	writing bool
}

func (s *cellSide) floor(home cells.Cell) *keptFloor {
	f := s.floors[home]
	if f == nil {
		f = &keptFloor{}
		s.floors[home] = f
	}
	return f
}

// raiseFloor applies the floor that a home tells. What runs here of a grant that is over at home, as
// after this cell was declared gone, is stopped. The floor is recorded in place of the fences below
// it, in one transaction.
func (s *cellSide) raiseFloor(home cells.Cell, epoch cells.Epoch) {
	s.dropAcceptances(home, "", epoch)
	s.wantPlacement()
	for _, id := range slices.Sorted(maps.Keys(s.c.control.cells.foreign[home])) {
		h := s.c.control.headers[id]
		if h.Origin.Epoch > epoch {
			continue
		}
		recall := cells.Message{Kind: cells.KindRecall, From: home, To: s.self(), Job: id, Epoch: h.Origin.Epoch}
		if next, changed := holderRecord(id, h).Receive(recall, cells.Facts{}); changed {
			s.rewriteHeader(id, withHolder(*h, next), nil, nil)
		}
	}
	var below []string
	for _, key := range slices.Sorted(maps.Keys(s.fences)) {
		f := s.fences[key]
		if !f.unsure && f.record.Home == home && f.record.Droppable(epoch) && len(below) < s.c.cfg.Facts.State.Tightest().TxnOps-1 {
			below = append(below, key)
		}
	}
	if floor := s.floor(home); !floor.writing && epoch > floor.epoch && len(below) > 0 {
		s.writeFloor(home, floor, epoch, below)
	}
}

// writeFloor records a floor and removes the fences below it.
func (s *cellSide) writeFloor(home cells.Cell, floor *keptFloor, epoch cells.Epoch, below []string) {
	changes := 1 + len(below)
	if !s.budget.allows(s.c.now, changes, false) {
		return
	}
	s.budget.spend(s.c.now, changes, false)
	floor.writing = true
	key := floorKey(home)
	txn := wire.Txn{If: []wire.Cond{s.leadershipCondition(), {Key: key, Version: floor.version}}, Then: []wire.Change{put(key, epochRecord{epoch})}}
	for _, fence := range below {
		txn.If = append(txn.If, wire.Cond{Key: fence, Version: s.fences[fence].version})
		txn.Then = append(txn.Then, wire.Change{Delete: fence})
		s.fences[fence].unsure = true
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		if r.Status == http.StatusOK {
			*floor = keptFloor{epoch: epoch, version: r.Txn.Revision}
			for _, fence := range below {
				delete(s.fences, fence)
			}
			return
		}
		s.rereadFloor(home, floor)
		for _, fence := range below {
			s.rereadFence(fence)
		}
	})
}

// rereadFloor finds out which floor is recorded.
func (s *cellSide) rereadFloor(home cells.Cell, floor *keptFloor) {
	s.findOut(floorKey(home), func(it *wire.Item) {
		if it == nil {
			*floor = keptFloor{}
			return
		}
		s.addFloor(*it)
	})
}

// restoreFloors takes up the floors that earlier leaders have recorded.
func (s *cellSide) restoreFloors(floors []wire.Item) {
	clear(s.floors)
	for _, it := range floors {
		s.addFloor(it)
	}
}

// restoreFences takes up the fences that earlier leaders have recorded.
func (s *cellSide) restoreFences(fences []wire.Item) {
	clear(s.fences)
	for _, it := range fences {
		s.addFence(it)
	}
}

// addFloor takes up a floor as it is recorded.
func (s *cellSide) addFloor(it wire.Item) {
	if rec := decode[epochRecord](it.Value); rec != nil {
		*s.floor(cells.Cell(strings.TrimPrefix(it.Key, floorPrefix))) = keptFloor{epoch: rec.Epoch, version: it.Version}
	}
}

// composeEnd writes the end of another cell's job: a fence takes the place of its header.
func (l *leader) composeEnd(j *job, w *write) {
	key := fenceKey(j.origin.Home, j.id)
	h := l.c.control.headers[j.id]
	if h == nil || h.Origin == nil {
		h = &headerRecord{Job: j.spec, Origin: j.origin}
	}
	record, _ := holderRecord(j.id, h).Finish(j.tasksLeft() == 0)
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks}
	w.txn.Then = []wire.Change{put(key, fenceRecord{record.Epoch, record.Result}), {Delete: headerKey(j.id)}}
	if l.cells != nil {
		l.cells.fences[key] = &keptFence{unsure: true}
	}
}

// giveBackWaiting returns jobs of other cells of which nothing has been in force here for long: there
// is no room, or their team is not known here any more.
func (s *cellSide) giveBackWaiting() {
	for _, j := range s.foreignJobs() {
		h := s.c.control.headers[j.id]
		if len(j.attempts) > 0 || h == nil || h.Origin == nil {
			delete(s.idle, j.id)
			continue
		}
		if _, noted := s.idle[j.id]; !noted {
			s.idle[j.id] = s.c.now
		}
		if s.c.now.Sub(s.idle[j.id]) < s.c.op.Cell.ReturnAfter {
			continue
		}
		if next, changed := holderRecord(j.id, h).GiveBack(); changed {
			s.c.log(slog.LevelInfo, "giving back", "job", j.id, "home", h.Origin.Home, "epoch", h.Origin.Epoch)
			s.rewriteHeader(j.id, withHolder(*h, next), nil, nil)
		}
	}
}
