package controller

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Timeouts and retry intervals of the core's calls.
const (
	userCallTimeout    = 600 * time.Millisecond
	leadCallTimeout    = 2 * time.Second
	cloudCallTimeout   = 5 * time.Second
	probeTimeout       = 700 * time.Millisecond // of a probe of a machine that is up
	probeReportTimeout = time.Second            // of a probe of a machine that this leader has received no status from
	probePause         = 4 * time.Second        // between probes of a machine that this leader has received no status from
	watchWait          = 4 * time.Second        // for which the state service holds a watch call open without events
	retryPause         = 200 * time.Millisecond
	tickEvery          = 250 * time.Millisecond
)

// clockDrift is the maximum relative drift between the monotonic clocks of two machines.
const clockDrift = 0.001

// Core is the state machine of one controller: Step processes an input and returns the outputs.
type Core struct {
	cfg    *config.Platform
	op     config.Operator
	rng    *rand.Rand
	now    time.Time
	out    []Output
	lastID uint64

	stateCalls  map[uint64]func(StateReply)
	cloudCalls  map[uint64]func(CloudReply)
	workerCalls map[uint64]func(WorkerReply)
	cellCalls   map[uint64]func(CellReply)
	timers      timers

	reads  *rate.Limiter // requests to the state service for users
	writes *rate.Limiter // changes in the state service for users

	watchCache   watchCache
	types        map[string]wire.MachineType
	quotas       map[string]quota // by team
	measure      scheduler.Measure
	finals       finals
	progress     map[string]jobCount     // by job ID, as last broadcast by a leader
	dependencies *reduction.DynamicGraph // unfinished jobs that need other jobs, and the jobs that they need

	recordingVersion  bool // see recordVersion
	rateRefusals      int  // see observeRateLimit
	rateLimitLowered  bool // the upcoming write rate limit of the state service is in effect
	valueLimitLowered bool // the state service has refused a record for its size
	claiming          bool
	claimAfter        time.Time
	revokeAfter       time.Time
	lead              *leader
	peerLease         peerLeaseState
	relays            relays
	machineHints      map[string]*mesh.Hint // by machine: address and images as last broadcast by a leader, or the address from a heartbeat during recovery
	rejected          map[string]*wire.Job  // submissions refused for now, to be reported to the leader
}

// jobCount holds the numbers of a job's done and running tasks, as counted by the leader, for display
// and for lookupOutcomes.
type jobCount struct{ done, running int }

// New returns the core of a controller that starts now.
func New(cfg *config.Platform, op config.Operator, rng *rand.Rand, now time.Time) *Core {
	share := 1 / float64(len(cfg.Others)+1)
	st := cfg.Facts.State
	c := &Core{
		cfg: cfg, op: op, rng: rng, now: now,
		stateCalls:   map[uint64]func(StateReply){},
		cloudCalls:   map[uint64]func(CloudReply){},
		workerCalls:  map[uint64]func(WorkerReply){},
		cellCalls:    map[uint64]func(CellReply){},
		reads:        readLimiter(st, share),
		writes:       rate.NewLimiter(0, writeBurst(st)),
		types:        map[string]wire.MachineType{},
		quotas:       map[string]quota{},
		progress:     map[string]jobCount{},
		dependencies: reduction.NewDynamicGraph(),
		machineHints: map[string]*mesh.Hint{},
		rejected:     map[string]*wire.Job{},
		// IDs start at a random number: an answer to a request that an earlier process of this
		// controller relayed over the mesh must not match a request of this process, or a worker would
		// get the commands of another worker.
		lastID: rng.Uint64() >> 2,
	}
	for _, t := range cfg.Facts.Teams {
		c.quotas[t.Name] = quotaOf(t)
	}
	c.writes.SetLimitAt(now, c.userWriteRate())
	c.finals.init()
	c.watchCache.init()
	c.peerLease.processStarted = now
	c.relays.init()
	return c
}

// Step processes one input and returns the resulting outputs.
func (c *Core) Step(now time.Time, in Input) []Output {
	c.now = now
	c.out = nil
	c.runTimers()
	c.dispatch(in)
	c.runTimers()
	c.campaign()
	if c.hasAuthority() {
		c.lead.run()
	}
	return c.out
}

// Wake returns the time by which the core needs its next Tick.
func (c *Core) Wake() time.Time {
	at := c.now.Add(tickEvery)
	if earliest, found := c.timers.next(); found && earliest.Before(at) {
		return earliest
	}
	return at
}

func (c *Core) dispatch(in Input) {
	switch in := in.(type) {
	case Tick:
		if !c.watchCache.loaded && !c.watchCache.loading {
			c.load()
		}
		c.recordVersion()
	case StateReply:
		resume(c.stateCalls, in.ID, in)
	case CloudReply:
		resume(c.cloudCalls, in.ID, in)
	case WorkerReply:
		resume(c.workerCalls, in.ID, in)
	case UserRequest:
		c.handleUserRequest(in)
	case ReportRequest:
		c.answerHeartbeat(in)
	case MeshMessage:
		c.handleMeshMessage(in.Envelope)
	case CellReply:
		resume(c.cellCalls, in.ID, in)
	case CellRequest:
		c.cellRequest(in)
	case CellStatusRequest:
		c.cellStatus(in)
	case CellGoneRequest:
		c.declareGone(in)
	case ZoneStatusRequest:
		c.zoneStatus(in)
	case SpreadStatusRequest:
		c.spreadStatus(in)
	}
}

// resume passes a reply to the callback of its call, once.
func resume[R any](calls map[uint64]func(R), id uint64, reply R) {
	if fn, ok := calls[id]; ok {
		delete(calls, id)
		fn(reply)
	}
}

func (c *Core) runTimers() { c.timers.run(c.now) }

// after runs fn after the duration d.
func (c *Core) after(d time.Duration, fn func()) {
	c.timers.add(c.now.Add(d), fn)
}

func (c *Core) id() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }

func (c *Core) log(level slog.Level, text string, attrs ...any) {
	c.emit(LogRecord{level, text, attrs})
}

func (c *Core) callStateService(call StateCall, fn func(StateReply)) {
	call.ID = c.id()
	if call.Op == OpTxn {
		callback := fn
		fn = func(r StateReply) {
			c.observeRateLimit(r.Status)
			callback(r)
		}
	}
	c.stateCalls[call.ID] = fn
	c.emit(call)
}

func (c *Core) callCloud(call CloudCall, fn func(CloudReply)) {
	call.ID, call.Timeout = c.id(), cloudCallTimeout
	c.cloudCalls[call.ID] = fn
	c.emit(call)
}

func (c *Core) callWorker(call WorkerCall, fn func(WorkerReply)) {
	call.ID = c.id()
	c.workerCalls[call.ID] = fn
	c.emit(call)
}

func (c *Core) answer(req uint64, status int, body any) {
	c.reply(Answer{Req: req, Status: status, Body: body})
}

// reply answers a request, over the mesh if it was relayed by another controller.
func (c *Core) reply(a Answer) {
	if !c.answerRelayed(a) {
		c.emit(a)
	}
}

// retryLater refuses a request with 503 and a Retry-After of one second.
func (c *Core) retryLater(req uint64, why string) {
	c.reply(Answer{Req: req, Status: http.StatusServiceUnavailable, Body: wire.Error{Error: why}, RetryAfter: time.Second})
}
