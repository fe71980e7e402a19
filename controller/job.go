package controller

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"pumicefront/failureclass"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Unfinished jobs in the leader's memory: their tasks, their active attempts, and the processing of
// outcomes.

// job is an unfinished job in the leader's memory. Its tasks are the nodes of a reduction graph. Its
// active attempts are those that are not proved to have ended.
type job struct {
	id        string
	spec      wire.Job
	cancelled bool
	// Earliest time at which the cancellation can have been confirmed to a user: the leader's copy of
	// the headers didn't contain it before.
	cancelledAt     time.Time
	accepted        time.Time
	ready           time.Time // when all jobs that it needs were done; its waiting time and its start and finish objectives count from then
	deadline        deadline
	graph           *reduction.Graph
	state           *reduction.State
	attempts        map[int]*attempt // the active ones, by task
	tasksPerRecord  int
	chunks          []chunk
	divided         bool                 // chunks are smaller than the header specifies, see divide
	undividedKeys   []string             // keys of the undivided records, which stay until the job is finished
	retryAt         map[int]time.Time    // by task: earliest time of the next attempt after a failure
	failureCounts   map[int]int          // by task
	avoidedMachines map[string]bool      // by machine ID, see taskFailed
	failureClass    failureclass.History // classifies whether the job fails on every machine
	dirty           bool                 // chunks differ from their records, or the final record is due
	dirtyAt         time.Time
	urgent          bool      // its write starts tasks or is the final one; one that only records completed tasks can wait
	write           *write    // the write whose result is not known yet; nil: none
	noWriteBefore   time.Time // no write before this time, after one that was not executed
	ended           bool      // the final record is written
	terms           *scheduler.PreemptionTerms
	hasStarted      bool          // a task has run at some time
	disrupted       bool          // lost a reported attempt to a failure or a preemption; has precedence in placement
	grant           *grantRecord  // the job is granted to another cell and must not run in this one
	origin          *originRecord // the job belongs to another cell
}

// chunk is a range of consecutive tasks that share a task record.
type chunk struct {
	version     uint64
	lastAttempt uint64
	dirty       bool
}

func taskResources(j *wire.Job) scheduler.Resources {
	return scheduler.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Slots: 1}
}

func machineCapacity(t wire.MachineType) scheduler.Resources {
	return scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, Slots: slotsPerMachine}
}

// demandOf returns a demand with the fields that follow from the job's specification.
func (c *Core) demandOf(j *wire.Job) *scheduler.Demand {
	return &scheduler.Demand{
		Job: j.ID, Class: j.Class, Team: j.Team, Total: j.Tasks, TaskResources: taskResources(j), Measure: c.measure, Types: j.Types, Zone: j.Zone,
		OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot, Image: j.Image,
		Rank: slices.Index(wire.Priorities, j.Priority), Service: j.Kind == wire.KindService, Gang: j.Kind == wire.KindGang,
		InZone: map[string]int{},
	}
}

// addJob adds an unfinished job to the leader's state by its header.
func (l *leader) addJob(id string, h *headerRecord) *job {
	per := max(1, h.TasksPerChunk)
	g := reduction.Independent(h.Job.Tasks)
	j := &job{
		id: id, spec: h.Job, accepted: time.UnixMilli(h.AcceptedMS), ready: time.UnixMilli(h.AcceptedMS),
		graph: g, state: reduction.NewState(g), attempts: map[int]*attempt{}, tasksPerRecord: per,
		chunks:  make([]chunk, (h.Job.Tasks+per-1)/per),
		retryAt: map[int]time.Time{}, failureCounts: map[int]int{}, avoidedMachines: map[string]bool{},
	}
	j.terms = &scheduler.PreemptionTerms{Job: id, Team: h.Job.Team, Rank: slices.Index(wire.Priorities, h.Job.Priority),
		TaskResources: taskResources(&h.Job), CheckpointS: h.Job.CheckpointS}
	j.grant, j.origin = h.Grant, h.Origin
	if j.origin != nil { // below all of this cell's own jobs
		j.terms.Rank, j.terms.Borrowed = len(wire.Priorities)-1, true
	}
	if j.spec.DeadlineS != nil {
		j.deadline = deadline{fromJob: &j.spec, acceptedAt: j.accepted}
	}
	l.guaranteesAssignedAt = time.Time{}
	l.jobs[id] = j
	for _, s := range l.c.dependencies.Successors(id) { // headers of dependents may have arrived first
		if dependent := l.jobs[s]; dependent != nil {
			l.inheritUrgency(dependent)
		}
	}
	l.inheritUrgency(j)
	if !l.blocked(j) {
		l.markReady(j)
	}
	at, _ := slices.BinarySearchFunc(l.jobsByAcceptance, j, func(a, b *job) int {
		if n := a.accepted.Compare(b.accepted); n != 0 {
			return n
		}
		return strings.Compare(a.id, b.id)
	})
	l.jobsByAcceptance = slices.Insert(l.jobsByAcceptance, at, j)
	return j
}

// canAdd reports whether a job can be added by its header. A header with a number that makes no sense stays on record, so
// that users are answered, but the job is not run; it must not end the leader.
func (l *leader) canAdd(id string, h *headerRecord) bool {
	err := h.check()
	if err != nil {
		l.c.log(slog.LevelError, "job can't be run: its header has an invalid number", "job", id, "error", err)
	}
	return err == nil
}

// applyHeader applies a change of a job's header to the leader's state.
func (l *leader) applyHeader(id string, h *headerRecord) {
	j := l.jobs[id]
	switch {
	case h == nil:
		// Only the leader deletes headers; writeQueue.confirm handles the write that deleted this one.
		return
	case j == nil && !l.canAdd(id, h):
		return
	case j == nil: // it may be cancelled already: a full reload skips intermediate versions
		j = l.addJob(id, h)
		l.c.log(slog.LevelInfo, "job accepted", "job", id, "class", h.Job.Class, "team", h.Job.Team, "tasks", h.Job.Tasks)
		l.schedulePlacement()
	}
	if (h.Grant == nil) != (j.grant == nil) {
		l.applyGrant(j, h.Grant)
	}
	if l.c.effectivelyCancelled(id) && !j.cancelled {
		l.c.log(slog.LevelInfo, "job cancelled", "job", id)
		l.cancel(j)
		l.finalizeIfSettled(j)
	}
}

// cancel fails every unfinished task with the outcome Cancelled and stops the active attempts.
func (l *leader) cancel(j *job) {
	if !j.cancelled {
		j.cancelled, j.cancelledAt = true, l.headersKnownUntil()
	}
	for t := range j.spec.Tasks {
		j.state.Accumulate(t, reduction.Cancelled)
	}
	for _, a := range j.sortedAttempts() {
		l.stop(a, 0)
	}
}

func (j *job) sortedAttempts() []*attempt {
	as := make([]*attempt, 0, len(j.attempts))
	for _, a := range j.attempts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return a.task - b.task })
	return as
}

// markTaskDirty marks the chunk of a task as dirty.
func (j *job) markTaskDirty(task int, now time.Time) {
	j.chunks[task/j.tasksPerRecord].dirty = true
	j.markDirty(now)
}

func (j *job) markDirty(now time.Time) {
	if !j.dirty {
		j.dirty, j.dirtyAt = true, now
	}
}

// removeAttempt removes an active attempt that the caller has proved to have ended, and applies its outcome to
// the task.
func (l *leader) removeAttempt(a *attempt, o reduction.Outcome, proof terminationProof) {
	j := a.job
	if j.attempts[a.task] != a {
		return
	}
	delete(j.attempts, a.task)
	a.machine.remove(a)
	l.zones.recordAttemptEnd(a, o, proof)
	j.disrupted = j.disrupted || a.phase >= attemptReported && o == reduction.Reset
	j.state.Accumulate(a.task, o)
	if !j.ended {
		j.markTaskDirty(a.task, l.c.now)
	}
	level := slog.LevelDebug
	if o != reduction.Succeeded && !j.cancelled {
		level = slog.LevelInfo
	}
	l.c.log(level, "attempt gone", "job", j.id, "task", a.task, "attempt", a.number, "machine", a.machine.id, "why", proof)
	l.finalizeIfSettled(j)
	l.schedulePlacement()
}

// completeTask marks a task as completed after a worker reported it.
func (l *leader) completeTask(j *job, task int) {
	if j.state.Status(task) == reduction.Completed || j.cancelled {
		return
	}
	j.state.Accumulate(task, reduction.Succeeded)
	j.markTaskDirty(task, l.c.now)
	if a := j.attempts[task]; a != nil { // another attempt completed the task
		l.stop(a, 0)
	}
	l.finalizeIfSettled(j)
}

// finalizeIfSettled makes the job's final record due if no task is pending or running and no attempt is active.
func (l *leader) finalizeIfSettled(j *job) {
	if j.ended || len(j.attempts) > 0 {
		return
	}
	if j.state.Count(reduction.Pending) == 0 && j.state.Count(reduction.Running) == 0 {
		j.markDirty(l.c.now)
		j.urgent = true
	}
}

// removeJob forgets a job whose final record has been written, and marks its task records as
// obsolete.
func (l *leader) removeJob(j *job, f finalRecord) {
	j.ended = true
	delete(l.jobs, j.id)
	l.obsoleteKeys = append(l.obsoleteKeys, j.undividedKeys...) // their deletion is not urgent
	for n := range j.chunks {
		if j.chunks[n].version > 0 {
			l.obsoleteKeys = append(l.obsoleteKeys, j.chunkKey(n))
		}
	}
	l.jobsByAcceptance = slices.DeleteFunc(l.jobsByAcceptance, func(o *job) bool { return o == j })
	if j.origin == nil { // a job of another cell has no final record here
		l.c.applyFinal(j.id, f)
	}
	delete(l.progressSent, j.id)
	l.spillover.dropJob(j.id)
	if f.Cancelled {
		l.c.log(slog.LevelInfo, "job ended", "job", j.id, "state", "cancelled")
	} else {
		l.c.log(slog.LevelInfo, "job ended", "job", j.id, "state", "done", "after", l.c.now.Sub(j.accepted))
	}
}
