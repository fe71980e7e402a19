package controller

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Scale-in: machines that are released to the cloud.

// scaleIn releases machines that are not needed, the most expensive first.
func (s *autoscaler) scaleIn() {
	if s.spreading.keepsIdleMachines() {
		return
	}
	unneeded := s.unneededMachines()
	slices.SortStableFunc(unneeded, func(a, b *machine) int { return cmp.Compare(s.price(b), s.price(a)) })
	for _, m := range unneeded[:min(len(unneeded), max(scaleInMax, len(s.machines)/scaleInDivisor))] {
		s.release(m, releaseIdle)
	}
}

// sendReleases sends one release call for the machines that never came up, that have failed, and that were found not to
// be needed.
func (s *autoscaler) sendReleases() {
	if s.releaseInFlight {
		return
	}
	s.failureDetector.releaseFailed()
	var names []string
	for _, m := range s.machinesByName {
		if m.releasing && len(names) < maxMachinesPerRelease {
			names = append(names, m.id)
		}
	}
	if len(names) == 0 {
		return
	}
	s.releaseInFlight = s.callCloud(CloudCall{Op: CloudRelease, MachineIDs: names}, func(r CloudReply) {
		s.releaseInFlight = false
		if r.Status != http.StatusOK {
			return
		}
		for _, id := range names {
			s.forgetMachine(id)
		}
	})
}

// releaseReason is why a machine is released, as the log shows it.
type releaseReason string

// The reasons for a release; docs/operations.md explains them.
const (
	releaseIdle                releaseReason = "idle"
	releaseSilent              releaseReason = "silent"
	releaseSilentSinceElection releaseReason = "silent since the election"
	releaseUnlisted            releaseReason = "not listed any more"
	releaseFailedMachine       releaseReason = "failed"
	releaseFaulty              releaseReason = "faulty"
	releaseNeverUp             releaseReason = "never came up"
	releaseReclaimed           releaseReason = "will be taken"
	releaseRestarted           releaseReason = "has begun again"
)

// release marks a machine for release; its attempts have ended once the cloud confirms the release.
func (l *leader) release(m *machine, reason releaseReason) {
	if m.releasing {
		return
	}
	m.releasing = true
	l.zones.recordSilentRelease(m, reason)
	l.c.log(slog.LevelInfo, "releasing machine", "machine", m.id, "why", reason, "tasks", len(m.attempts))
}

// forgetMachine removes a machine whose release is confirmed, and ends all attempts on it.
func (s *autoscaler) forgetMachine(id string) {
	m := s.machines[id]
	if m == nil {
		return
	}
	s.released[id] = s.c.now
	for _, a := range m.attemptsInOrder() {
		s.removeAttempt(a, reduction.Reset, proofMachineReleased)
	}
	delete(s.machines, id)
	s.machinesByName = slices.DeleteFunc(s.machinesByName, func(o *machine) bool { return o == m })
}

// unneededMachines lists idle machines that neither pending work nor the headroom needs: those that stay empty when all
// of it is placed on the fullest machines first.
func (s *autoscaler) unneededMachines() []*machine {
	var idle []*machine
	for _, m := range s.machinesByName {
		// A machine is charged for a minute at least: releasing it sooner saves nothing.
		if m.up && !m.releasing && len(m.attempts)+len(m.unknownAttempts) == 0 && (m.consolidating || s.c.now.Sub(m.rentedAt) >= minRentalTime &&
			s.c.now.Sub(m.idleSince) >= config.Seconds(s.c.op.IdleS)) && !s.failureDetector.unresponsive(m) {
			idle = append(idle, m)
		}
	}
	if len(s.c.types) == 0 || len(idle) == 0 {
		return nil
	}
	machines := s.schedulerView(true)
	demands := append(s.backlog(), s.headroom()...)
	scheduler.Order(demands)
	needed := map[string]bool{}
	for _, d := range demands {
		d.SpreadImages = false
		for _, p := range scheduler.Place(machines, d) {
			needed[p.Machine.ID] = true
		}
	}
	return slices.DeleteFunc(idle, func(m *machine) bool { return needed[m.id] })
}

func (s *autoscaler) price(m *machine) float64 { return priceOf(s.c.types[m.typ], m.spot) }

func priceOf(t wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
