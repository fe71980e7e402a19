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

// The holder's side of a transfer: jobs of other cells. They are scheduled like this cell's own jobs of the
// lowest rank, outside every team's guarantee, and this cell's user API does not report on them.

// cellRequest answers a call of another cell with the recorded status of its jobs. Only the leader can answer.
// A message that changes a record is written first and gets no status in this answer: the home repeats the
// message, and the repeat is answered from the record.
func (c *Core) cellRequest(r CellRequest) {
	s := c.activeSpilloverManager()
	if s == nil || s.links[r.From] == nil || !s.ready() {
		c.emit(Answer{Req: r.Req, Status: http.StatusServiceUnavailable, Body: CellAnswer{}})
		return
	}
	challengeMatches := r.Challenge == s.challenge
	if challengeMatches {
		s.confirmedFloors[r.From] = max(s.confirmedFloors[r.From], r.Floor)
	}
	s.raiseFloor(r.From, r.Floor)
	answer := CellAnswer{Challenge: s.challenge}
	for _, m := range r.Messages {
		if m.From != r.From || m.To != s.self() || !wire.ValidJobID(m.Job) {
			continue
		}
		if status, known := s.receive(m); known {
			answer.Messages = append(answer.Messages, CellMessage{Message: status})
		}
	}
	if challengeMatches { // without the current challenge, a job accepted here could not start: see mayStart
		answer.AvailableCores = s.availableCores()
	}
	c.emit(Answer{Req: r.Req, Status: http.StatusOK, Body: answer})
}

// receive applies a message from a home cell. It returns the status to answer with, and whether there is a
// recorded status: there is none while a change is being written or the record has to be read again.
func (s *spilloverManager) receive(m CellMessage) (cells.Message, bool) {
	h, key := s.c.watchCache.headers[m.Job], fenceKey(m.From, m.Job)
	isHeld := h != nil && h.Origin != nil && h.Origin.Home == m.From
	if a, isPending := s.pendingAcceptances[m.Job]; isPending && !a.outcomeUnknown && !isHeld && a.home == m.From && a.epoch == m.Epoch && m.Kind == cells.KindOffer {
		return cells.Message{}, false // its write is in flight
	}
	record := cells.HolderRecord{}
	if fence := s.fences[key]; isHeld {
		record = holderRecord(m.Job, h)
	} else if fence != nil {
		if fence.versionUnknown {
			return cells.Message{}, false
		}
		record = fence.record
	}
	next, changed := record.Receive(m.Message, cells.OfferContext{
		KnowsJob: h != nil && !isHeld || s.finished(m.Job), KnowsTeam: m.Spec != nil && s.knowsTeam(m.Spec),
		HasRoom: m.Spec != nil && s.canAccept(m.Spec), Floor: s.floor(m.From).epoch,
	})
	if !changed {
		return next.Status(s.self()), next.State != cells.HolderNone
	}
	switch {
	case next.State == cells.HolderHolding:
		s.accept(m, next)
	case next.State == cells.HolderEnded:
		s.writeFence(key, next)
	case isHeld:
		s.rewriteHeader(m.Job, withHolder(*h, next), nil, nil)
	}
	return cells.Message{}, false
}

// finished reports whether an own job with this ID is known to have ended. Not every final record is in memory, so
// the write of an acceptance is also conditional on there being no final record.
func (s *spilloverManager) finished(id string) bool {
	_, found := s.c.finals.jobs[id]
	return found
}

func (s *spilloverManager) knowsTeam(spec *wire.Job) bool {
	_, known := s.c.quotas[spec.Team]
	return known
}

// canAccept reports whether a job of another cell can run here and fits into the available lent cores. Cores that
// are already reserved for an earlier acceptance of the same job count as available.
func (s *spilloverManager) canAccept(spec *wire.Job) bool {
	return spec.Kind == wire.KindArray && spec.CheckAmounts() == nil && len(s.c.types) > 0 && s.c.canRun(spec) && s.availableCores()+s.pendingAcceptances[spec.ID].size >= s.size(spec)
}

// size returns the total size of all tasks of a job, in cores.
func (s *spilloverManager) size(spec *wire.Job) float64 {
	return s.c.measure.OfTask(taskResources(spec)) * float64(spec.Tasks)
}

// availableCores returns how many of the lent cores are free: the configured share, less the unfinished tasks
// of other cells' jobs and the jobs whose acceptance is pending.
func (s *spilloverManager) availableCores() float64 {
	available := s.c.op.Cell.LendCores
	for id, a := range s.pendingAcceptances {
		if s.jobs[id] == nil {
			available -= a.size
		}
	}
	for _, j := range s.foreignJobs() {
		available -= j.sizeLeft(s.c.measure)
	}
	return max(available, 0)
}

// pendingAcceptance is an acceptance that may have been written but whose header has not been observed yet. Its
// cores stay reserved until the header is observed, or until it is certain that the write was not and will
// not be applied.
type pendingAcceptance struct {
	home           cells.Cell
	epoch          cells.Epoch
	size           float64 // in cores
	outcomeUnknown bool    // a write of the acceptance got no answer and may still be applied at any time
}

// handleAcceptanceReply handles the reply to the write of a header, if an acceptance of the job is pending. A
// refused write proves that nothing is recorded, unless an earlier write of the same acceptance got no answer.
func (s *spilloverManager) handleAcceptanceReply(job string, status int) {
	a, isPending := s.pendingAcceptances[job]
	switch {
	case !isPending || status == http.StatusOK:
	case status == 0:
		a.outcomeUnknown = true
		s.pendingAcceptances[job] = a
	case !a.outcomeUnknown:
		delete(s.pendingAcceptances, job)
	}
}

// dropAcceptances releases the cores reserved for a home's pending acceptances up to an epoch, of one job or,
// where job is empty, of all. These acceptances can no longer be written, or are ended as soon as they are written.
func (s *spilloverManager) dropAcceptances(home cells.Cell, job string, epoch cells.Epoch) {
	for id, a := range s.pendingAcceptances {
		if a.home == home && a.epoch <= epoch && (job == "" || job == id) {
			delete(s.pendingAcceptances, id)
		}
	}
}

// foreignJobs lists the unfinished jobs of other cells, ordered by home and job ID.
func (s *spilloverManager) foreignJobs() []*job {
	var jobs []*job
	for _, home := range slices.Sorted(maps.Keys(s.c.watchCache.transfers.foreign)) {
		for _, id := range slices.Sorted(maps.Keys(s.c.watchCache.transfers.foreign[home])) {
			if j := s.jobs[id]; j != nil {
				jobs = append(jobs, j)
			}
		}
	}
	return jobs
}

// accept records the acceptance of an offer: it writes a header with the job's origin, and deletes the fence of an
// earlier epoch in the same transaction. A job whose header would exceed the value limit of the state service
// is refused.
func (s *spilloverManager) accept(m CellMessage, record cells.HolderRecord) {
	if m.Spec.ID != m.Job || s.headerWriteInFlight[m.Job] {
		return
	}
	limits := s.c.cfg.Facts.State.MinLimits()
	h := withHolder(headerRecord{Job: *m.Spec, AcceptedMS: s.c.now.UnixMilli(), TasksPerChunk: tasksPerRecord(limits.ValueKB)}, record)
	if !fits(wire.Marshal(h), headerReserve, limits.ValueKB) {
		record.State, record.Result = cells.HolderEnded, cells.ResultRefused
		s.writeFence(fenceKey(m.From, m.Job), record)
		return
	}
	key := fenceKey(m.From, m.Job)
	// A write that is applied late must fail if the epoch has ended meanwhile. Its fence may have been written
	// and removed again by then, but the removal changes the floor's version.
	conds := []wire.Cond{{Key: finalKey(m.Job)}, {Key: key, Version: s.fenceVersion(key)}, {Key: floorKey(m.From), Version: s.floor(m.From).version}}
	var extraChanges []wire.Change
	if s.fenceVersion(key) > 0 {
		extraChanges = append(extraChanges, wire.Change{Delete: key})
	}
	s.c.log(slog.LevelInfo, "accepting", "job", m.Job, "home", m.From, "epoch", m.Epoch)
	delete(s.fences, key)
	if s.rewriteHeader(m.Job, h, conds, extraChanges) {
		s.pendingAcceptances[m.Job] = pendingAcceptance{home: m.From, epoch: m.Epoch, size: s.size(m.Spec), outcomeUnknown: s.pendingAcceptances[m.Job].outcomeUnknown}
	}
	s.rereadFence(key) // a fence is still recorded if the acceptance is not written
}

func (s *spilloverManager) fenceVersion(key string) uint64 {
	if f := s.fences[key]; f != nil {
		return f.version
	}
	return 0
}

// writeFence records the end of an epoch that was never accepted here.
func (s *spilloverManager) writeFence(key string, record cells.HolderRecord) {
	if f := s.fences[key]; f != nil && f.versionUnknown || !s.budget.allows(s.c.now, 1, true) {
		return
	}
	s.budget.spend(s.c.now, 1, true)
	version := s.fenceVersion(key)
	s.fences[key] = &cachedFence{version: version, versionUnknown: true}
	// An acceptance may have been applied that is not observed yet. If there was no fence for it to replace, only the
	// header's version shows it, and a fence beside that header would end an epoch that runs here.
	header := headerKey(record.Job)
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: key, Version: version}, {Key: header, Version: s.c.watchCache.versions[header]}},
		Then: []wire.Change{put(key, fenceRecord{record.Epoch, record.Result})},
	}
	s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		if r.Status == http.StatusOK {
			s.fences[key] = &cachedFence{record: record, version: r.Txn.Revision}
			s.dropAcceptances(record.Home, record.Job, record.Epoch)
			return
		}
		s.rereadFence(key)
	})
}

// rereadFence reads a fence from the state service again, after a write that may have changed it. Until the read
// completes, the cached fence is not used.
func (s *spilloverManager) rereadFence(key string) {
	s.fences[key] = &cachedFence{versionUnknown: true}
	s.getWithRetry(key, func(it *wire.Item) {
		if it == nil {
			delete(s.fences, key)
			return
		}
		s.addFence(*it)
	})
}

// addFence caches a fence read from the state service.
func (s *spilloverManager) addFence(it wire.Item) {
	home, job, ok := strings.Cut(strings.TrimPrefix(it.Key, fencePrefix), "/")
	rec := decode[fenceRecord](it.Value)
	if !ok || rec == nil {
		return
	}
	s.dropAcceptances(cells.Cell(home), job, rec.Epoch)
	s.fences[it.Key] = &cachedFence{version: it.Version, record: cells.HolderRecord{
		Home: cells.Cell(home), Job: job, Epoch: rec.Epoch, State: cells.HolderEnded, Result: rec.Result}}
}

// mayStart reports whether this leader may place tasks of a job. Tasks of another cell's job may be placed only
// once the home has confirmed, in a call that carries this leader's challenge, that the grant is open. During
// an outage the grant may have been declared ended, and a delayed copy of an earlier call would not show
// that. Tasks that run already keep running until the grant is known to have ended.
func (s *spilloverManager) mayStart(j *job) bool {
	if j.origin == nil {
		return true
	}
	if s == nil { // spillover is not configured any more
		return false
	}
	floor, confirmed := s.confirmedFloors[j.origin.Home]
	return confirmed && j.origin.Epoch > floor
}

// cachedFloor is a home's floor as recorded in this cell's state service.
type cachedFloor struct {
	epoch         cells.Epoch
	version       uint64
	writeInFlight bool
}

// floor returns the cached floor of a home; it is zero where none is recorded.
func (s *spilloverManager) floor(home cells.Cell) *cachedFloor {
	f := s.floors[home]
	if f == nil {
		f = &cachedFloor{}
		s.floors[home] = f
	}
	return f
}

// raiseFloor applies a floor received from a home. Jobs in this cell whose grant has ended at the home, for example because
// this cell was declared gone, are stopped. The fences at or below the floor are replaced by the recorded floor in one
// transaction.
func (s *spilloverManager) raiseFloor(home cells.Cell, epoch cells.Epoch) {
	s.dropAcceptances(home, "", epoch)
	s.schedulePlacement()
	for _, id := range slices.Sorted(maps.Keys(s.c.watchCache.transfers.foreign[home])) {
		h := s.c.watchCache.headers[id]
		if h.Origin.Epoch > epoch {
			continue
		}
		recall := cells.Message{Kind: cells.KindRecall, From: home, To: s.self(), Job: id, Epoch: h.Origin.Epoch}
		if next, changed := holderRecord(id, h).Receive(recall, cells.OfferContext{}); changed {
			s.rewriteHeader(id, withHolder(*h, next), nil, nil)
		}
	}
	var droppableFences []string
	for _, key := range slices.Sorted(maps.Keys(s.fences)) {
		f := s.fences[key]
		if !f.versionUnknown && f.record.Home == home && f.record.Removable(epoch) && len(droppableFences) < s.c.cfg.Facts.State.MinLimits().TxnOps-1 {
			droppableFences = append(droppableFences, key)
		}
	}
	if floor := s.floor(home); !floor.writeInFlight && epoch > floor.epoch && len(droppableFences) > 0 {
		s.writeFloor(home, floor, epoch, droppableFences)
	}
}

// writeFloor records a floor and removes the given fences, which it makes redundant.
func (s *spilloverManager) writeFloor(home cells.Cell, floor *cachedFloor, epoch cells.Epoch, droppableFences []string) {
	changes := 1 + len(droppableFences)
	if !s.budget.allows(s.c.now, changes, false) {
		return
	}
	s.budget.spend(s.c.now, changes, false)
	floor.writeInFlight = true
	key := floorKey(home)
	txn := wire.Txn{If: []wire.Cond{s.leadershipCondition(), {Key: key, Version: floor.version}}, Then: []wire.Change{put(key, epochRecord{epoch})}}
	for _, fence := range droppableFences {
		txn.If = append(txn.If, wire.Cond{Key: fence, Version: s.fences[fence].version})
		txn.Then = append(txn.Then, wire.Change{Delete: fence})
		s.fences[fence].versionUnknown = true
	}
	s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead != s.leader {
			return
		}
		if r.Status == http.StatusOK {
			*floor = cachedFloor{epoch: epoch, version: r.Txn.Revision}
			for _, fence := range droppableFences {
				delete(s.fences, fence)
			}
			return
		}
		s.rereadFloor(home, floor)
		for _, fence := range droppableFences {
			s.rereadFence(fence)
		}
	})
}

// rereadFloor reads a floor from the state service after a write that failed or whose outcome is not known.
func (s *spilloverManager) rereadFloor(home cells.Cell, floor *cachedFloor) {
	s.getWithRetry(floorKey(home), func(it *wire.Item) {
		if it == nil {
			*floor = cachedFloor{}
			return
		}
		s.addFloor(*it)
	})
}

// restoreFloors caches the floors that earlier leaders have recorded.
func (s *spilloverManager) restoreFloors(floors []wire.Item) {
	clear(s.floors)
	for _, it := range floors {
		s.addFloor(it)
	}
}

// restoreFences caches the fences that earlier leaders have recorded.
func (s *spilloverManager) restoreFences(fences []wire.Item) {
	clear(s.fences)
	for _, it := range fences {
		s.addFence(it)
	}
}

// addFloor caches a floor read from the state service.
func (s *spilloverManager) addFloor(it wire.Item) {
	if rec := decode[epochRecord](it.Value); rec != nil {
		*s.floor(cells.Cell(strings.TrimPrefix(it.Key, floorPrefix))) = cachedFloor{epoch: rec.Epoch, version: it.Version}
	}
}

// composeFence composes the write that ends another cell's job in this cell: it replaces the job's header by a fence.
func (l *leader) composeFence(j *job, w *write) {
	key := fenceKey(j.origin.Home, j.id)
	h := l.c.watchCache.headers[j.id]
	if h == nil || h.Origin == nil {
		h = &headerRecord{Job: j.spec, Origin: j.origin}
	}
	record, _ := holderRecord(j.id, h).Finish(j.tasksLeft() == 0)
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks}
	w.txn.Then = []wire.Change{put(key, fenceRecord{record.Epoch, record.Result}), {Delete: headerKey(j.id)}}
	if l.spillover != nil {
		l.spillover.fences[key] = &cachedFence{versionUnknown: true}
	}
}

// returnWaitingJobs returns jobs of other cells that have had no attempt here for the configured time, because
// there is no capacity or because their team is no longer configured here.
func (s *spilloverManager) returnWaitingJobs() {
	for _, j := range s.foreignJobs() {
		h := s.c.watchCache.headers[j.id]
		if len(j.attempts) > 0 || h == nil || h.Origin == nil {
			delete(s.idleSince, j.id)
			continue
		}
		if _, tracked := s.idleSince[j.id]; !tracked {
			s.idleSince[j.id] = s.c.now
		}
		if s.c.now.Sub(s.idleSince[j.id]) < s.c.op.Cell.ReturnAfter {
			continue
		}
		if next, changed := holderRecord(j.id, h).ReturnJob(); changed {
			s.c.log(slog.LevelInfo, "giving back", "job", j.id, "home", h.Origin.Home, "epoch", h.Origin.Epoch)
			s.rewriteHeader(j.id, withHolder(*h, next), nil, nil)
		}
	}
}
