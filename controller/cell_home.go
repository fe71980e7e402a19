package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/cells"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The home's side: which batches go to another cell, what they count for meanwhile, and how their
// cancellation is told.

// homeAgain is how long a job that came back stays at home: two full cells must not pass it to and fro.
const homeAgain = 2 * time.Minute

// mayGoAway reports whether a job may go to another cell at all: an array that no chain holds, of
// which nothing has run and nothing is in force.
func (s *cellSide) mayGoAway(j *job) bool {
	return j.spec.Kind == wire.KindArray && j.origin == nil && j.grant == nil && !j.cancelled && !j.begun &&
		len(j.attempts) == 0 && j.write == nil && !j.dirty && j.state.Count(reduction.Pending) == j.spec.Tasks &&
		len(j.chunks) <= s.c.maxConds()-1 && !slices.ContainsFunc(j.chunks, func(ch chunk) bool { return ch.version > 0 }) &&
		len(j.spec.Needs) == 0 && len(s.c.chains.Successors(j.id)) == 0 && j.spec.Zone == ""
}

// spill grants the job that has waited longest for room and finds some elsewhere. A job goes whole and
// counts for its team as if it ran here, so its team's limit must allow that. One at a time: the
// next epoch is known when this one is written.
func (s *cellSide) spill() {
	for _, move := range cells.Plan(s.waitingForRoom(), s.roomElsewhere()) {
		j, link := s.jobs[move.Job], s.links[move.To]
		if s.grant(j, link) {
			link.room -= j.sizeLeft(s.c.measure)
			return
		}
	}
}

// waitingForRoom lists the jobs that may go elsewhere now, those that wait longest first.
func (s *cellSide) waitingForRoom() []cells.Waiting {
	var jobs []*job
	used := s.teamUse()
	for _, j := range s.order {
		if !s.mayGoAway(j) || s.c.now.Sub(j.ready) < s.c.op.Cell.SpillAfter || s.c.now.Sub(s.cameBack[j.id]) < homeAgain {
			continue
		}
		if s.c.quotas[j.spec.Team].limit.Add(used[j.spec.Team], -1).Fits(jobEach(&j.spec)) >= j.spec.Tasks {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.ready.Compare(b.ready) })
	waiting := make([]cells.Waiting, 0, len(jobs))
	for _, j := range jobs {
		waiting = append(waiting, cells.Waiting{Job: j.id, Size: j.sizeLeft(s.c.measure)})
	}
	return waiting
}

// roomElsewhere is what the cells lend that have answered lately.
func (s *cellSide) roomElsewhere() map[cells.Cell]float64 {
	room := map[cells.Cell]float64{}
	for name, link := range s.links {
		if link.failures == 0 && !link.answered.IsZero() && s.c.now.Sub(link.answered) <= cellFresh {
			room[name] = link.room
		}
	}
	return room
}

// grant records that another cell may run a job; it is offered once that is recorded.
func (s *cellSide) grant(j *job, link *cellLink) bool {
	h := s.c.control.headers[j.id]
	if h == nil || len(s.rewriting) > 0 { // the epoch may be taken by what is under way
		return false
	}
	epoch := s.c.control.epoch + 1
	next, err := homeRecord(j.id, h).Grant(link.name, epoch)
	if err != nil {
		return false
	}
	// A grant that is applied late must not find attempts in force: no placement may be on record.
	// A placement that comes after it fails on the header's version.
	conds := []wire.Cond{{Key: epochKey, Version: s.c.control.versions[epochKey]}}
	for n := range j.chunks {
		conds = append(conds, wire.Cond{Key: j.chunkKey(n)})
	}
	if !s.rewriteHeader(j.id, withHome(*h, next), conds, []wire.Change{put(epochKey, epochRecord{epoch})}) {
		return false
	}
	s.c.log(slog.LevelInfo, "granting", "job", j.id, "cell", link.name, "epoch", epoch)
	return true
}

// granted follows a change of a job's grant. What was planned here meanwhile was never sent: its
// write fails on the header's version.
func (l *leader) granted(j *job, grant *grantRecord) {
	j.grant = grant
	l.guaranteesAt = time.Time{}
	if grant == nil {
		l.wantPlacement()
		return
	}
	for _, a := range j.sortedAttempts() {
		l.stop(a, 0)
	}
}

// grantedUse is what a team's jobs take in other cells.
func grantedUse(j *job) scheduler.Resources {
	if j.grant == nil {
		return scheduler.Resources{}
	}
	return scheduler.Resources{}.Add(jobEach(&j.spec), float64(j.tasksLeft()))
}

// abortGranted answers the cancellation of a job that another cell may run: it is asked for there,
// and told here when that cell has recorded the end.
func (c *Core) abortGranted(r UserRequest, h headerRecord) {
	if h.Grant.Cancel {
		c.retryLater(r.Req, "another cell has the job")
		return
	}
	next, err := homeRecord(r.Job, &h).AskCancel()
	if err != nil || !c.writes.AllowN(c.now, 1) {
		c.retryLater(r.Req, "too many changes")
		return
	}
	c.updateHeader(r.Job, wire.Marshal(withHome(h, next)), func(int) { c.retryLater(r.Req, "another cell has the job") })
}
