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

// Spillover at a job's home cell, which is the cell that accepted the job from its user: which batch jobs are granted
// to another cell (the holder), how they count against their team's quota meanwhile, and how they are cancelled.

// returnCooldown is how long a job that a holder has returned is not granted again. Without it, two full cells would
// transfer the job repeatedly.
const returnCooldown = 2 * time.Minute

// canSpill reports whether a job may be granted to another cell at all. It must be a batch job (an array) that this
// cell accepted from a user and that is neither granted nor cancelled, without dependencies, dependents or a required
// zone. None of its tasks may have run, have an active attempt, or have a placement on record or in flight. The
// transaction that grants the job has one condition for each of its chunks and one for the epoch, so the number of
// chunks is limited too.
func (s *spilloverManager) canSpill(j *job) bool {
	return j.spec.Kind == wire.KindArray && j.origin == nil && j.grant == nil && !j.cancelled && !j.hasStarted &&
		len(j.attempts) == 0 && j.write == nil && !j.dirty && j.state.Count(reduction.Pending) == j.spec.Tasks &&
		len(j.chunks) <= s.c.maxConds()-1 && !slices.ContainsFunc(j.chunks, func(ch chunk) bool { return ch.version > 0 }) &&
		len(j.spec.Needs) == 0 && len(s.c.dependencies.Successors(j.id)) == 0 && j.spec.Zone == ""
}

// spill grants the longest waiting job that fits into the available cores of another cell. All tasks of a job are
// granted together and count against the team's limit as if they ran here, so the limit must allow that. Only one
// job is granted at a time, because the epoch of the next grant is known only once the epoch of this grant is written.
func (s *spilloverManager) spill() {
	for _, transfer := range cells.Plan(s.spillCandidates(), s.peerCapacity()) {
		j, link := s.jobs[transfer.Job], s.links[transfer.To]
		if s.grant(j, link) {
			link.availableCores -= j.sizeLeft(s.c.measure)
			return
		}
	}
}

// spillCandidates lists the jobs that may be granted to another cell now, the longest waiting first.
func (s *spilloverManager) spillCandidates() []cells.PendingJob {
	var jobs []*job
	teamUsage := s.teamUse()
	for _, j := range s.jobsByAcceptance {
		if !s.canSpill(j) || s.c.now.Sub(j.ready) < s.c.op.Cell.SpillAfter || s.c.now.Sub(s.returnedAt[j.id]) < returnCooldown {
			continue
		}
		if s.c.quotas[j.spec.Team].limit.Add(teamUsage[j.spec.Team], -1).Fits(taskResources(&j.spec)) >= j.spec.Tasks {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.ready.Compare(b.ready) })
	pending := make([]cells.PendingJob, 0, len(jobs))
	for _, j := range jobs {
		pending = append(pending, cells.PendingJob{Job: j.id, Size: j.sizeLeft(s.c.measure)})
	}
	return pending
}

// peerCapacity returns the available cores of each cell that answered the last call to it, at most cellReplyMaxAge ago.
func (s *spilloverManager) peerCapacity() map[cells.Cell]float64 {
	capacity := map[cells.Cell]float64{}
	for name, link := range s.links {
		if link.failures == 0 && !link.lastReplyAt.IsZero() && s.c.now.Sub(link.lastReplyAt) <= cellReplyMaxAge {
			capacity[name] = link.availableCores
		}
	}
	return capacity
}

// grant starts the write of a record that allows another cell to run a job, and reports whether it did. The job is
// offered to that cell once the grant is recorded.
func (s *spilloverManager) grant(j *job, link *cellLink) bool {
	header := s.c.watchCache.headers[j.id]
	if header == nil || len(s.headerWriteInFlight) > 0 { // a write in flight may take the next epoch
		return false
	}
	epoch := s.c.watchCache.epoch + 1
	next, err := homeRecord(j.id, header).Grant(link.name, epoch)
	if err != nil {
		return false
	}
	// The write of a grant may be applied late, when this cell has already placed tasks of the job. It must fail
	// then, so it is conditional on the absence of a record (version 0) for every chunk. A placement that is
	// written after the grant fails, because it is conditional on the header's version.
	conds := []wire.Cond{{Key: epochKey, Version: s.c.watchCache.versions[epochKey]}}
	for n := range j.chunks {
		conds = append(conds, wire.Cond{Key: j.chunkKey(n)})
	}
	if !s.rewriteHeader(j.id, withHome(*header, next), conds, []wire.Change{put(epochKey, epochRecord{epoch})}) {
		return false
	}
	s.c.log(slog.LevelInfo, "granting", "job", j.id, "cell", link.name, "epoch", epoch)
	return true
}

// applyGrant applies a job's grant, or the end of its grant (nil), and makes the next assignGuarantees run without
// waiting for its interval. If there is a grant, it stops the attempts that this leader planned before it observed the
// grant. Their run commands were never sent, because the write of their placements fails on the header's version.
func (l *leader) applyGrant(j *job, grant *grantRecord) {
	j.grant = grant
	l.guaranteesAssignedAt = time.Time{}
	if grant == nil {
		l.schedulePlacement()
		return
	}
	for _, a := range j.sortedAttempts() {
		l.stop(a, 0)
	}
}

// grantedResources returns what a job adds to its team's use while it is granted to another cell: the resources of all
// its unfinished tasks. It returns none for a job that is not granted.
func grantedResources(j *job) scheduler.Resources {
	if j.grant == nil {
		return scheduler.Resources{}
	}
	return scheduler.Resources{}.Add(taskResources(&j.spec), float64(j.tasksLeft()))
}

// cancelGranted handles a user's request to cancel a job that another cell (the holder) may run. It records the
// cancellation, which is then sent to the holder, and asks the user to retry: the job is reported as cancelled only
// once the holder has recorded the end of the grant.
func (c *Core) cancelGranted(r UserRequest, h headerRecord) {
	if h.Grant.Cancel {
		c.retryLater(r.Req, "another cell has the job")
		return
	}
	next, err := homeRecord(r.Job, &h).RequestCancel()
	if err != nil || !c.writes.AllowN(c.now, 1) {
		c.retryLater(r.Req, "too many changes")
		return
	}
	c.updateHeader(r.Job, wire.Marshal(withHome(h, next)), func(int) { c.retryLater(r.Req, "another cell has the job") })
}
