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

// Timeouts and pauses of the core's own calls.
const (
	userCallTimeout    = 600 * time.Millisecond
	leadCallTimeout    = 2 * time.Second
	cloudCallTimeout   = 5 * time.Second
	probeTimeout       = 700 * time.Millisecond
	probeReportTimeout = time.Second
	probePause         = 4 * time.Second
	watchWait          = 4 * time.Second
	retryPause         = 200 * time.Millisecond
	tickEvery          = 250 * time.Millisecond
)

// Shares of the changes that the state service takes in a second. Users and the
// leader seldom need many at the same time, and what one leaves the other can use:
// so together they may ask for more than there is, and try again when refused.
// What nobody waits for leaves room for both.
const (
	userShare       = 0.8
	leaderShare     = 0.85
	backgroundShare = 0.4
	burstShare      = 0.4 // of a second's changes, that may be made at once
)

// clockDrift bounds how far the steady clocks of two machines drift apart.
const clockDrift = 0.001

// Core is the state machine of one controller.
type Core struct {
	cfg  *config.Platform
	op   config.Operator
	rng  *rand.Rand
	now  time.Time
	out  []Output
	next uint64

	stateCalls  map[uint64]func(StateReply)
	cloudCalls  map[uint64]func(CloudReply)
	workerCalls map[uint64]func(WorkerReply)
	timers      []timer

	reads  *rate.Limiter // requests to the state service for users
	writes *rate.Limiter // changes in the state service for users

	control  control
	types    map[string]wire.MachineType
	quotas   map[string]quota // by team
	measure  scheduler.Measure
	final    finals
	progress map[string]jobCount
	chains   *reduction.DynamicGraph // unfinished jobs that need others, and those

	announcing    bool // see announce
	rateRefusals  int  // see paced
	ratesLowered  bool // the state service takes changes at its coming rate
	valuesLowered bool // it has refused a record for its size
	claiming      bool
	claimAfter    time.Time
	endAfter      time.Time
	lead          *leader
	promises      promises
	relays        relays
	hints         map[string]*mesh.Hint // by machine, as the last leader told
	rejected      map[string]*wire.Job  // turned away, to be told to the leader
}

// timer runs a function once its time has come.
type timer struct {
	at time.Time
	fn func()
}

// jobCount is the leader's count of a job's tasks, for display.
type jobCount struct{ done, running int }

// New returns the core of a controller that starts now.
func New(cfg *config.Platform, op config.Operator, rng *rand.Rand, now time.Time) *Core {
	share := 1 / float64(len(cfg.Others)+1)
	st := cfg.Facts.State
	burst := max(2, int(st.Tightest().WriteRPS*burstShare))
	c := &Core{
		cfg: cfg, op: op, rng: rng, now: now,
		stateCalls:  map[uint64]func(StateReply){},
		cloudCalls:  map[uint64]func(CloudReply){},
		workerCalls: map[uint64]func(WorkerReply){},
		reads:       rate.NewLimiter(rate.Limit(st.RPS*0.6*share), max(2, int(st.RPS*0.3*share))),
		writes:      rate.NewLimiter(rate.Limit(st.WriteRPS*userShare*share), burst),
		types:       map[string]wire.MachineType{},
		quotas:      map[string]quota{},
		progress:    map[string]jobCount{},
		chains:      reduction.NewDynamicGraph(),
		hints:       map[string]*mesh.Hint{},
		rejected:    map[string]*wire.Job{},
		// An answer that an earlier process of this controller asked for over the mesh
		// must not be taken for one to us: a worker would get another one's commands.
		next: rng.Uint64() >> 2,
	}
	for _, t := range cfg.Facts.Teams {
		c.quotas[t.Name] = quotaOf(t)
	}
	c.final.init()
	c.control.init()
	c.promises.started = now
	c.relays.init()
	return c
}

// Step takes one input and returns what follows from it.
func (c *Core) Step(now time.Time, in Input) []Output {
	c.now = now
	c.out = nil
	c.runTimers()
	c.dispatch(in)
	c.runTimers()
	c.pursueLeadership()
	if c.entitled() {
		c.lead.run()
	}
	return c.out
}

// Wake returns when the core wants its next Tick at the latest.
func (c *Core) Wake() time.Time {
	at := c.now.Add(tickEvery)
	for _, t := range c.timers {
		if t.at.Before(at) {
			at = t.at
		}
	}
	return at
}

func (c *Core) dispatch(in Input) {
	switch in := in.(type) {
	case Tick:
		if !c.control.loaded && !c.control.loading {
			c.load()
		}
		c.announce()
	case StateReply:
		resume(c.stateCalls, in.ID, in)
	case CloudReply:
		resume(c.cloudCalls, in.ID, in)
	case WorkerReply:
		resume(c.workerCalls, in.ID, in)
	case UserRequest:
		c.user(in)
	case ReportRequest:
		c.report(in)
	case MeshMessage:
		c.meshMessage(in.Envelope)
	}
}

// resume hands a reply to whoever made the call.
func resume[R any](calls map[uint64]func(R), id uint64, reply R) {
	if fn, ok := calls[id]; ok {
		delete(calls, id)
		fn(reply)
	}
}

func (c *Core) runTimers() {
	for i := 0; i < len(c.timers); {
		if t := c.timers[i]; !t.at.After(c.now) {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			t.fn()
			i = 0
			continue
		}
		i++
	}
}

// after runs fn once d has passed.
func (c *Core) after(d time.Duration, fn func()) {
	c.timers = append(c.timers, timer{c.now.Add(d), fn})
}

func (c *Core) id() uint64 {
	c.next++
	return c.next
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }

func (c *Core) log(level slog.Level, text string, attrs ...any) {
	c.emit(Event{level, text, attrs})
}

func (c *Core) state(call StateCall, fn func(StateReply)) {
	call.ID = c.id()
	if call.Op == OpTxn {
		told := fn
		fn = func(r StateReply) {
			c.observeRateLimit(r.Status)
			told(r)
		}
	}
	c.stateCalls[call.ID] = fn
	c.emit(call)
}

// tightAfter is how many changes must be refused for the rate, more than are taken
// meanwhile, before the coming rate is taken to hold. Budgets add up to more than the
// rate, so that some are refused at any time.
const refusalsToLower = 12

// paced learns from what becomes of transactions that the limits have become those
// that are to come, which nobody announces.
func (c *Core) observeRateLimit(status int) {
	switch {
	case c.ratesLowered:
		return
	case status == http.StatusTooManyRequests:
		c.rateRefusals += 3
	case status == http.StatusOK:
		c.rateRefusals = max(c.rateRefusals-1, 0)
	}
	if c.rateRefusals >= 3*refusalsToLower && c.cfg.Facts.State.Coming() != c.cfg.Facts.State.Limits {
		c.lowerRates()
	}
}

// tighten goes over to the coming limits.
func (c *Core) lowerRates() {
	c.ratesLowered = true
	c.writes.SetLimitAt(c.now, c.userRate())
	if c.lead != nil {
		c.lead.setWriteRates()
	}
	c.log(slog.LevelInfo, "the state service has its coming limits", "changes", c.writeRate())
}

// writeRate is how many changes a second the state service takes.
func (c *Core) writeRate() float64 {
	if c.ratesLowered {
		return c.cfg.Facts.State.Tightest().WriteRPS
	}
	return c.cfg.Facts.State.WriteRPS
}

// userRate is what of that each controller spends on users.
func (c *Core) userRate() rate.Limit {
	return rate.Limit(c.writeRate() * userShare / float64(len(c.cfg.Others)+1))
}

func (c *Core) cloud(call CloudCall, fn func(CloudReply)) {
	call.ID, call.Timeout = c.id(), cloudCallTimeout
	c.cloudCalls[call.ID] = fn
	c.emit(call)
}

func (c *Core) worker(call WorkerCall, fn func(WorkerReply)) {
	call.ID = c.id()
	c.workerCalls[call.ID] = fn
	c.emit(call)
}

func (c *Core) answer(req uint64, status int, body any) {
	c.reply(Answer{Req: req, Status: status, Body: body})
}

// reply answers a request, over the mesh if it came that way.
func (c *Core) reply(a Answer) {
	if !c.answerRelayed(a) {
		c.emit(a)
	}
}

// later refuses a request that can't be taken now, at once.
func (c *Core) retryLater(req uint64, why string) {
	c.reply(Answer{Req: req, Status: http.StatusServiceUnavailable, Body: wire.Error{Error: why}, RetryAfter: time.Second})
}
