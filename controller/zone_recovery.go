package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
	"pumicefront/zones"
)

// Zone recovery: in which order the work of a lost zone restarts, and how starts return to it.
// The states of zones (package zones) order and limit starts; they never prove an attempt gone.

// zoneLookInterval is how often the zones are looked at.
const zoneLookInterval = 250 * time.Millisecond

// limitedWait is how long starts of a job may be held back: well below the time after which no job
// may wait beside room.
const limitedWait = 60 * time.Second

// zoneRecovery is the leader's part of it; nil where operators have not switched it on.
type zoneRecovery struct {
	*leader
	tracker   *zones.Tracker
	records   zoneRecords
	keptAt    time.Time // see keepRecords
	lookedAt  time.Time
	look      []zones.Health
	waiting   map[*job]time.Time // jobs with tasks to place while zones recover, since when
	displaced map[displacedTask]displacement
	open      map[string]bool // zones whose recovery is not over, see finishRecoveries
	givenUp   []givenUpMachine
}

// givenUpMachine is a machine that was released because it was silent: it speaks for a fault of its
// zone as if it were still there, or the fault would be forgotten with the last machine.
type givenUpMachine struct {
	zone string
	at   time.Time
}

func newZoneRecovery(l *leader) *zoneRecovery {
	if l.c.op.ZoneRecovery == nil {
		return nil
	}
	return &zoneRecovery{
		leader: l, tracker: zones.New(l.c.op.ZoneRecovery.Settings), records: zoneRecords{},
		waiting: map[*job]time.Time{}, displaced: map[displacedTask]displacement{}, open: map[string]bool{},
	}
}

// recovering reports whether any zone is not healthy, as far as that is looked at.
func (z *zoneRecovery) recovering() bool { return z != nil && z.tracker.Recovering() }

// run looks at the zones and keeps what has to outlive this leader.
func (z *zoneRecovery) run() {
	if z == nil || z.c.now.Sub(z.lookedAt) < zoneLookInterval {
		return
	}
	z.lookedAt = z.c.now
	if z.observerTrusted() {
		z.look = z.health()
		for _, t := range z.tracker.Observe(z.c.now, z.look) {
			z.changed(t)
		}
	}
	z.finishRecoveries()
}

// observerTrusted reports whether silence says something of the machines: this controller leads by
// a lease of the state service and has listened for as long as their reports may take. Workers take
// longer to find a new leader.
func (z *zoneRecovery) observerTrusted() bool {
	now := z.c.now
	return now.Before(z.authority) && now.Sub(z.failures.listening.began) > z.failures.heartbeatDue(time.Second) && now.Sub(z.elected) > z.findsLeaderWithin()
}

// findsLeaderWithin is how long the workers of healthy zones take to report to a new leader.
func (l *leader) findsLeaderWithin() time.Duration {
	return l.failures.heartbeatDue(time.Second) + config.Seconds(l.c.cfg.Facts.Workers.ReportS)
}

// health counts the machines of every zone by whether they report. A zone whose reports arrive by
// way of other controllers is not silent, whether or not commands reach it.
func (z *zoneRecovery) health() []zones.Health {
	index := map[string]int{}
	var look []zones.Health
	for _, m := range z.fleetOrder {
		silent, known := z.silence(m)
		if !known || m.zone == "" || m.releasing && silent {
			continue
		}
		i, seen := index[m.zone]
		if !seen {
			i = len(look)
			index[m.zone] = i
			look = append(look, zones.Health{Zone: m.zone})
		}
		if silent {
			look[i].Silent++
		} else {
			look[i].Responsive++
		}
	}
	return z.withGivenUp(look)
}

// withGivenUp adds the machines that were given up lately.
func (z *zoneRecovery) withGivenUp(look []zones.Health) []zones.Health {
	memory := z.c.op.ZoneRecovery.LostAfter + config.Seconds(z.c.cfg.Facts.Workers.LeaseS)
	z.givenUp = slices.DeleteFunc(z.givenUp, func(g givenUpMachine) bool { return z.c.now.Sub(g.at) > memory })
	for _, g := range z.givenUp {
		i := slices.IndexFunc(look, func(h zones.Health) bool { return h.Zone == g.zone })
		if i < 0 {
			i = len(look)
			look = append(look, zones.Health{Zone: g.zone})
		}
		look[i].Silent++
	}
	return look
}

// noteReleased notes a machine that is given up.
func (z *zoneRecovery) noteReleased(m *machine, why releaseReason) {
	if z != nil && (why == releaseSilent || why == releaseSilentSinceElection) {
		z.givenUp = append(z.givenUp, givenUpMachine{m.zone, z.c.now})
	}
}

// silence reports whether a machine is silent, and whether that can be known: of one that boots
// nothing is expected, nor of one that only the cloud's list shows, which may never come up. Counted as
// silent, a few of those kept a small zone lost for half a minute after it was back.
func (z *zoneRecovery) silence(m *machine) (silent, known bool) {
	switch {
	case m.up:
		return z.failures.unresponsive(m), true
	case len(m.attempts) > 0 && z.failures.listenedSince(m.since) > z.findsLeaderWithin():
		return true, true // it runs what an earlier leader has placed there
	}
	return false, false
}

// changed handles a change of a zone's state.
func (z *zoneRecovery) changed(t zones.Transition) {
	if t.To != zones.Healthy {
		z.open[t.Zone] = true
	}
	z.c.log(slog.LevelInfo, "zone "+t.To.String(), "zone", t.Zone, "was", t.From)
	z.c.emit(ZoneChanged{Zone: t.Zone, From: t.From, To: t.To, At: z.c.now})
	z.wantPlacement()
}

// limitStarts orders the demands of a round for restarts and bounds their starts by zone. It returns
// the bounds, see noteHeldBack.
func (z *zoneRecovery) limitStarts(demands []*scheduler.Demand) map[string]*scheduler.StartLimit {
	if !z.recovering() {
		if z != nil {
			clear(z.waiting)
		}
		return nil
	}
	limits := z.startLimits()
	z.noteWaiting(demands)
	for _, d := range demands {
		j := z.jobs[d.Job]
		z.prepare(d, j)
		if z.waited(d, j) < limitedWait {
			d.Limits = limits
		}
	}
	return limits
}

// closeZones keeps demands for rentals from counting on zones that take nothing now, and orders
// them like restarts. Machines of a returning zone count: they are to be used soon.
func (z *zoneRecovery) closeZones(demands []*scheduler.Demand) {
	if !z.recovering() {
		return
	}
	closed := map[string]*scheduler.StartLimit{}
	for _, name := range z.tracker.Names() {
		if a := z.tracker.Admission(name); a.BoundOnly {
			closed[name] = &scheduler.StartLimit{Starts: a.Starts, Fetches: unlimitedFetches, BoundOnly: true}
		}
	}
	for _, d := range demands {
		d.Limits = closed
		if j := z.jobs[d.Job]; j != nil {
			z.prepare(d, j)
		} else {
			d.Phase = scheduler.RestartRest // headroom, or not accepted yet
		}
	}
}

// prepare tells the scheduler what of a job matters while zones recover.
func (z *zoneRecovery) prepare(d *scheduler.Demand, j *job) {
	d.Phase, d.OnlyZone = z.restartPhase(j), z.onlyZone(&j.spec)
}

// onlyZone is the zone that has all machine types that a job may use, if there is just one.
func (l *leader) onlyZone(spec *wire.Job) string {
	only := ""
	for _, t := range l.c.typesFor(spec) {
		for _, zone := range t.Zones {
			if only != "" && only != zone {
				return ""
			}
			only = zone
		}
	}
	return only
}

func unlimitedFetches(string) int { return int(^uint(0) >> 1) }

// rentable is how many machines more may be asked for in a zone: as long as none of its starts
// has shown that it is well, no more may boot there than starts may be under way.
func (z *zoneRecovery) rentable(name string, want int) int {
	if z == nil || z.tracker.State(name) != zones.Returning {
		return want
	}
	booting := 0
	for _, m := range z.fleetOrder {
		if m.zone == name && !m.up && !m.rented.IsZero() {
			booting++
		}
	}
	return min(want, max(z.tracker.Admission(name).Starts-booting, 0))
}

// startLimits bounds the starts of this round in each zone that is limited: its windows, less
// what is under way.
func (z *zoneRecovery) startLimits() map[string]*scheduler.StartLimit {
	limits := map[string]*scheduler.StartLimit{}
	for _, name := range z.tracker.Names() {
		a := z.tracker.Admission(name)
		if !a.Limited {
			continue
		}
		started := z.underWay(name)
		limits[name] = &scheduler.StartLimit{
			Starts: a.Starts - started.starts, BoundOnly: a.BoundOnly,
			Fetches: func(image string) int { return z.tracker.Fetches(name, image) - started.fetches[image] },
		}
	}
	return limits
}

// startsUnderWay are attempts that are not seen running yet.
type startsUnderWay struct {
	starts  int
	fetches map[string]int // those that need an image fetched
}

// underWay counts the starts that are under way in a zone.
func (z *zoneRecovery) underWay(name string) startsUnderWay {
	s := startsUnderWay{fetches: map[string]int{}}
	for _, m := range z.fleetOrder {
		if m.zone != name {
			continue
		}
		for _, a := range m.list {
			if !a.starting() {
				continue
			}
			s.starts++
			if a.fetches {
				s.fetches[a.job.spec.Image]++
			}
		}
	}
	return s
}

// noteHeldBack tells the tracker, after a round, in which zones starts were held back.
func (z *zoneRecovery) noteHeldBack(limits map[string]*scheduler.StartLimit) {
	for name, limit := range limits {
		if limit.HeldBack {
			z.tracker.HeldBack(z.c.now, name)
		}
	}
}

// limitedZone reports whether the starts of a zone are limited: nothing is stopped to make room there.
func (z *zoneRecovery) limitedZone(name string) bool {
	return z != nil && z.tracker.Admission(name).Limited
}

// noteWaiting notes since when jobs have had tasks to place.
func (z *zoneRecovery) noteWaiting(demands []*scheduler.Demand) {
	waits := map[*job]bool{}
	for _, d := range demands {
		j := z.jobs[d.Job]
		waits[j] = true
		if _, noted := z.waiting[j]; !noted {
			z.waiting[j] = z.c.now
		}
	}
	for j := range z.waiting {
		if !waits[j] {
			delete(z.waiting, j)
		}
	}
}

// waited is how long a job has had tasks to place.
func (z *zoneRecovery) waited(d *scheduler.Demand, j *job) time.Duration {
	waited := z.c.now.Sub(z.waiting[j])
	if !d.Begun {
		return max(waited, config.Seconds(d.AgeS))
	}
	return waited
}

// restartPhase tells when, among all that waits, a job restarts.
func (z *zoneRecovery) restartPhase(j *job) scheduler.RestartPhase {
	switch {
	case j.spec.Kind == wire.KindService && j.spec.Priority == wire.Priorities[0]:
		return scheduler.RestartProdServices
	case j.spec.Kind == wire.KindService:
		return scheduler.RestartServices
	case z.hasFinishAim(j):
		return scheduler.RestartTimelyBatches
	}
	return scheduler.RestartRest
}

// hasFinishAim reports whether a job is to finish by a time: then it is overdue, or will be, or can
// still be in time.
func (l *leader) hasFinishAim(j *job) bool {
	return slices.ContainsFunc(l.c.cfg.Facts.Objectives, func(o config.Objective) bool {
		_, _, applies := j.finishObjective(o, l.c.now)
		return applies
	})
}

// startSeen counts a start that has succeeded.
func (z *zoneRecovery) startSeen(a *attempt) {
	if z == nil {
		return
	}
	if !a.restored { // an earlier leader's may have been running for long
		z.tracker.Succeeded(a.start())
	}
	z.noteRestart(a)
}

// startOver counts the end of an attempt: one that ends before it was seen running, and that
// nobody stopped, is a start that has failed unless its task is done.
func (z *zoneRecovery) startOver(a *attempt, o reduction.Outcome, why proof) {
	if z == nil {
		return
	}
	switch {
	case !a.starting() || a.restored:
	case o == reduction.Succeeded:
		z.startSeen(a)
	case a.phase >= attemptSent && !a.stopping && !a.job.cancelled:
		z.tracker.Failed(a.start())
	}
	if o == reduction.Reset && (why == proofLeaseExpired || why == proofMachineReleased) {
		z.noteDisplaced(a)
	}
}

// starting reports whether an attempt is a start under way.
func (a *attempt) starting() bool { return a.phase < attemptRunning }

func (a *attempt) start() zones.Start {
	return zones.Start{Zone: a.machine.zone, Image: a.job.spec.Image, Fetches: a.fetches}
}
