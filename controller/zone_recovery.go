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

// Zone recovery: the order in which the work of a lost zone restarts, and the limits on starts in a
// zone that returns. The states of zones (package zones) only order and limit starts. They never
// prove that an attempt has ended.

// zoneCheckInterval is the interval between evaluations of zone health.
const zoneCheckInterval = 250 * time.Millisecond

// maxThrottleTime is how long starts of a job may be throttled. It is well below the time after which no
// job may wait while machines have room for it.
const maxThrottleTime = 60 * time.Second

// zoneRecovery is the leader's component for zone recovery; nil unless operators have enabled it.
type zoneRecovery struct {
	*leader
	tracker              *zones.Tracker
	records              zoneRecords
	recordsCheckedAt     time.Time // see saveRecords
	zonesCheckedAt       time.Time
	lastHealth           []zones.Health
	waitingSince         map[*job]time.Time // for jobs with tasks to place while zones recover
	displaced            map[displacedTask]displacement
	unfinishedRecoveries map[string]bool // by zone, see finishRecoveries
	silentReleases       []silentRelease
}

// silentRelease is a machine that was released because it was silent. It counts as silent for some
// time after, as otherwise a fault of its zone would go undetected once its last machine is released.
type silentRelease struct {
	zone string
	at   time.Time
}

// newZoneRecovery returns the zone recovery of a leader, or nil if it is not enabled.
func newZoneRecovery(l *leader) *zoneRecovery {
	if l.c.op.ZoneRecovery == nil {
		return nil
	}
	return &zoneRecovery{
		leader: l, tracker: zones.New(l.c.op.ZoneRecovery.Settings), records: zoneRecords{},
		waitingSince: map[*job]time.Time{}, displaced: map[displacedTask]displacement{}, unfinishedRecoveries: map[string]bool{},
	}
}

// recovering reports whether zone recovery is enabled and any zone is not healthy.
func (z *zoneRecovery) recovering() bool { return z != nil && z.tracker.Recovering() }

// run evaluates the health of all zones, handles changes of their states and ends the recoveries
// that are complete.
func (z *zoneRecovery) run() {
	if z == nil || z.c.now.Sub(z.zonesCheckedAt) < zoneCheckInterval {
		return
	}
	z.zonesCheckedAt = z.c.now
	if z.observerTrusted() {
		z.lastHealth = z.health()
		for _, t := range z.tracker.Observe(z.c.now, z.lastHealth) {
			z.zoneStateChanged(t)
		}
	}
	z.finishRecoveries()
}

// observerTrusted reports whether missing heartbeats are evidence against machines: this controller
// leads by a lease of the state service and has listened for at least the time within which a
// heartbeat is due. After an election more time must have passed, as workers take longer to find a
// new leader.
func (z *zoneRecovery) observerTrusted() bool {
	now := z.c.now
	return now.Before(z.authority) && now.Sub(z.failureDetector.listening.startedAt) > z.failureDetector.heartbeatDue(time.Second) && now.Sub(z.elected) > z.reconnectTimeout()
}

// reconnectTimeout returns the time within which workers in healthy zones send a heartbeat to a new
// leader.
func (l *leader) reconnectTimeout() time.Duration {
	return l.failureDetector.heartbeatDue(time.Second) + config.Seconds(l.c.cfg.Facts.Workers.ReportS)
}

// health counts the responsive and the silent machines of every zone. A zone whose heartbeats arrive
// through other controllers is not silent, whether or not commands reach it.
func (z *zoneRecovery) health() []zones.Health {
	index := map[string]int{}
	var all []zones.Health
	for _, m := range z.machinesByName {
		silent, known := z.machineSilence(m)
		if !known || m.zone == "" || m.releasing && silent {
			continue
		}
		i, seen := index[m.zone]
		if !seen {
			i = len(all)
			index[m.zone] = i
			all = append(all, zones.Health{Zone: m.zone})
		}
		if silent {
			all[i].Silent++
		} else {
			all[i].Responsive++
		}
	}
	return z.withSilentReleases(all)
}

// withSilentReleases adds the machines that were recently released as silent.
func (z *zoneRecovery) withSilentReleases(all []zones.Health) []zones.Health {
	memory := z.c.op.ZoneRecovery.LostAfter + config.Seconds(z.c.cfg.Facts.Workers.LeaseS)
	z.silentReleases = slices.DeleteFunc(z.silentReleases, func(r silentRelease) bool { return z.c.now.Sub(r.at) > memory })
	for _, r := range z.silentReleases {
		i := slices.IndexFunc(all, func(h zones.Health) bool { return h.Zone == r.zone })
		if i < 0 {
			i = len(all)
			all = append(all, zones.Health{Zone: r.zone})
		}
		all[i].Silent++
	}
	return all
}

// recordSilentRelease records a machine that is released because it was silent.
func (z *zoneRecovery) recordSilentRelease(m *machine, why releaseReason) {
	if z != nil && (why == releaseSilent || why == releaseSilentSinceElection) {
		z.silentReleases = append(z.silentReleases, silentRelease{m.zone, z.c.now})
	}
}

// machineSilence reports whether a machine is silent, and whether this is known. No heartbeat is
// expected from a machine that boots, nor from one known only from the cloud's list, which may never
// come up. Counting such machines as silent kept a small zone in state lost for half a minute after
// it had recovered.
func (z *zoneRecovery) machineSilence(m *machine) (silent, known bool) {
	switch {
	case m.up:
		return z.failureDetector.unresponsive(m), true
	case len(m.attempts) > 0 && z.failureDetector.listeningTimeSince(m.knownSince) > z.reconnectTimeout():
		return true, true // it has attempts that an earlier leader placed there
	}
	return false, false
}

// zoneStateChanged logs and emits a change of a zone's state and requests a round of placement.
func (z *zoneRecovery) zoneStateChanged(t zones.Transition) {
	if t.To != zones.Healthy {
		z.unfinishedRecoveries[t.Zone] = true
	}
	z.c.log(slog.LevelInfo, "zone "+t.To.String(), "zone", t.Zone, "was", t.From)
	z.c.emit(ZoneChanged{Zone: t.Zone, From: t.From, To: t.To, At: z.c.now})
	z.schedulePlacement()
}

// limitStarts sets the restart order of a round's demands and limits their starts by zone. Demands
// that have waited for maxThrottleTime are not limited. It returns the limits for recordThrottledStarts.
func (z *zoneRecovery) limitStarts(demands []*scheduler.Demand) map[string]*scheduler.StartLimit {
	if !z.recovering() {
		if z != nil {
			clear(z.waitingSince)
		}
		return nil
	}
	limits := z.startLimits()
	z.updateWaiting(demands)
	for _, d := range demands {
		j := z.jobs[d.Job]
		z.setRestartOrder(d, j)
		if z.waitingTime(d, j) < maxThrottleTime {
			d.StartLimits = limits
		}
	}
	return limits
}

// excludeClosedZones keeps the planning of rentals from counting on zones that now accept only tasks that can
// run nowhere else, and orders the demands like restarts. Machines in a returning zone count, as they
// are to be used soon.
func (z *zoneRecovery) excludeClosedZones(demands []*scheduler.Demand) {
	if !z.recovering() {
		return
	}
	closed := map[string]*scheduler.StartLimit{}
	for _, name := range z.tracker.Names() {
		if a := z.tracker.Admission(name); a.PinnedOnly {
			closed[name] = &scheduler.StartLimit{Starts: a.Starts, FetchLimit: unlimitedFetches, PinnedOnly: true}
		}
	}
	for _, d := range demands {
		d.StartLimits = closed
		if j := z.jobs[d.Job]; j != nil {
			z.setRestartOrder(d, j)
		} else {
			d.RestartPhase = scheduler.RestartRest // headroom, or a job that is not accepted yet
		}
	}
}

// setRestartOrder sets the fields of a demand that the scheduler uses while zones recover.
func (z *zoneRecovery) setRestartOrder(d *scheduler.Demand, j *job) {
	d.RestartPhase, d.OnlyZone = z.restartPhase(j), z.onlyZone(&j.spec)
}

// onlyZone returns the one zone that offers machine types that a job may use, or "" if there are
// several.
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

// unlimitedFetches allows any number of image fetches.
func unlimitedFetches(string) int { return int(^uint(0) >> 1) }

// limitRentals returns how many of the wanted machines may be rented in a zone. In a returning zone no
// more machines may boot at once than starts may be in progress, because successful starts have yet
// to show that the zone is healthy. Only machines that this leader has rented count as booting.
func (z *zoneRecovery) limitRentals(name string, want int) int {
	if z == nil || z.tracker.State(name) != zones.Returning {
		return want
	}
	booting := 0
	for _, m := range z.machinesByName {
		if m.zone == name && !m.up && !m.rentedAt.IsZero() {
			booting++
		}
	}
	return min(want, max(z.tracker.Admission(name).Starts-booting, 0))
}

// startLimits returns the limits on starts in this round for each limited zone: its windows for
// starts and image fetches, less those in progress.
func (z *zoneRecovery) startLimits() map[string]*scheduler.StartLimit {
	limits := map[string]*scheduler.StartLimit{}
	for _, name := range z.tracker.Names() {
		a := z.tracker.Admission(name)
		if !a.Limited {
			continue
		}
		started := z.countStartsInProgress(name)
		limits[name] = &scheduler.StartLimit{
			Starts: a.Starts - started.starts, PinnedOnly: a.PinnedOnly,
			FetchLimit: func(image string) int { return z.tracker.FetchLimit(name, image) - started.fetches[image] },
		}
	}
	return limits
}

// startsInProgress counts attempts that no heartbeat has reported as running yet.
type startsInProgress struct {
	starts  int
	fetches map[string]int // starts on machines without the image, by image
}

// countStartsInProgress counts the starts in progress in a zone.
func (z *zoneRecovery) countStartsInProgress(name string) startsInProgress {
	s := startsInProgress{fetches: map[string]int{}}
	for _, m := range z.machinesByName {
		if m.zone != name {
			continue
		}
		for _, a := range m.attemptsInOrder() {
			if !a.starting() {
				continue
			}
			s.starts++
			if a.needsFetch {
				s.fetches[a.job.spec.Image]++
			}
		}
	}
	return s
}

// recordThrottledStarts notifies the tracker, after a round, of the zones in which starts were throttled.
func (z *zoneRecovery) recordThrottledStarts(limits map[string]*scheduler.StartLimit) {
	for name, limit := range limits {
		if limit.Throttled {
			z.tracker.RecordThrottledStart(z.c.now, name)
		}
	}
}

// startsLimited reports whether the starts of a zone are limited. No task is preempted there then.
func (z *zoneRecovery) startsLimited(name string) bool {
	return z != nil && z.tracker.Admission(name).Limited
}

// updateWaiting records since when each job has had tasks to place, and removes the jobs that have
// none.
func (z *zoneRecovery) updateWaiting(demands []*scheduler.Demand) {
	waits := map[*job]bool{}
	for _, d := range demands {
		j := z.jobs[d.Job]
		waits[j] = true
		if _, noted := z.waitingSince[j]; !noted {
			z.waitingSince[j] = z.c.now
		}
	}
	for j := range z.waitingSince {
		if !waits[j] {
			delete(z.waitingSince, j)
		}
	}
}

// waitingTime returns how long a job has had tasks to place. For a job that has not started this is at
// least its age.
func (z *zoneRecovery) waitingTime(d *scheduler.Demand, j *job) time.Duration {
	waited := z.c.now.Sub(z.waitingSince[j])
	if !d.Started {
		return max(waited, config.Seconds(d.AgeS))
	}
	return waited
}

// restartPhase returns the phase in which a job restarts, relative to other waiting jobs.
func (z *zoneRecovery) restartPhase(j *job) scheduler.RestartPhase {
	switch {
	case j.spec.Kind == wire.KindService && j.spec.Priority == wire.Priorities[0]:
		return scheduler.RestartProdServices
	case j.spec.Kind == wire.KindService:
		return scheduler.RestartServices
	case z.hasFinishObjective(j):
		return scheduler.RestartDeadlineBatches
	}
	return scheduler.RestartRest
}

// hasFinishObjective reports whether an objective for the finish time applies to a job, no matter if
// the job is overdue, will be late or can still finish in time.
func (l *leader) hasFinishObjective(j *job) bool {
	return slices.ContainsFunc(l.c.cfg.Facts.Objectives, func(o config.Objective) bool {
		_, _, applies := j.finishObjective(o, l.c.now)
		return applies
	})
}

// startSucceeded counts a successful start.
func (z *zoneRecovery) startSucceeded(a *attempt) {
	if z == nil {
		return
	}
	if !a.restored { // an attempt of an earlier leader may have been running for a long time
		z.tracker.Succeeded(a.start())
	}
	z.recordRestart(a)
}

// recordAttemptEnd handles the end of an attempt. An attempt that ends before a heartbeat has reported it
// as running counts as a successful start if its task is done, and otherwise as a failed one, unless
// it was stopped, its job was cancelled or its run command was not sent. Attempts of an earlier
// leader are not counted. A task lost with its machine is passed to recordDisplacement.
func (z *zoneRecovery) recordAttemptEnd(a *attempt, o reduction.Outcome, proof terminationProof) {
	if z == nil {
		return
	}
	switch {
	case !a.starting() || a.restored:
	case o == reduction.Succeeded:
		z.startSucceeded(a)
	case a.phase >= attemptSent && !a.stopping && !a.job.cancelled:
		z.tracker.Failed(a.start())
	}
	if o == reduction.Reset && (proof == proofLeaseExpired || proof == proofMachineReleased) {
		z.recordDisplacement(a)
	}
}

// starting reports whether no heartbeat has reported the attempt as running yet.
func (a *attempt) starting() bool { return a.phase < attemptRunning }

// start describes the attempt's start to the zone tracker.
func (a *attempt) start() zones.Start {
	return zones.Start{Zone: a.machine.zone, Image: a.job.spec.Image, Fetches: a.needsFetch}
}
