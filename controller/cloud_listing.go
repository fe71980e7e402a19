package controller

import (
	"log/slog"
	"math"
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// Machine types and machines, as the cloud lists them.

// refreshTypes reads the machine types. It writes them to the state service for the other controllers if they were
// unknown to this controller or are not stored yet.
func (s *autoscaler) refreshTypes() {
	if s.typesInFlight || !s.typesAt.IsZero() && s.c.now.Sub(s.typesAt) < typesInterval {
		return
	}
	s.typesInFlight = s.callCloud(CloudCall{Op: CloudTypes}, func(r CloudReply) {
		s.typesInFlight = false
		if r.Status != http.StatusOK {
			return
		}
		s.typesAt = s.c.now
		first := len(s.c.types) == 0
		s.c.setTypes(r.Types.Types)
		s.schedulePlacement()
		if first || s.c.watchCache.versions[typesKey] == 0 {
			txn := wire.Txn{If: []wire.Cond{s.leadershipCondition()}, Then: []wire.Change{put(typesKey, r.Types)}}
			s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(StateReply) {})
		}
	})
}

// refreshList reads the cloud's list. The list lags and may go back in time: it is used only to add unknown machines
// and to find failed ones; it never proves that a machine has ended.
func (s *autoscaler) refreshList() {
	every := config.Seconds(math.Max(3, s.c.cfg.Facts.Cloud.ListLagS/2))
	if s.listInFlight || s.c.now.Sub(s.listedAt) < every {
		return
	}
	s.listedAt = s.c.now
	s.requestListPage("")
}

func (s *autoscaler) requestListPage(after string) {
	requestedAt := s.c.now
	s.listInFlight = s.callCloud(CloudCall{Op: CloudList, After: after}, func(r CloudReply) {
		s.listInFlight = false
		if r.Status != http.StatusOK {
			return
		}
		for _, m := range r.Page.Machines {
			s.handleListed(m)
		}
		s.handleUnlisted(after, r.Page, requestedAt)
		if n := len(r.Page.Machines); r.Page.More && n > 0 {
			s.requestListPage(r.Page.Machines[n-1].ID)
		}
	})
}

// handleUnlisted handles the machines that a page of the list leaves out. The list is late by up to twice its lag, and a
// machine stays listed until it has ended: one that was listed or requested longer ago than that, and is not listed, has
// ended. Missed heartbeats would show this only after a report interval, and a new leader that finds the machine in the
// record of an old rental request would treat it as booting. The list does not prove that the machine has ended, so it is
// released.
func (s *autoscaler) handleUnlisted(after string, page wire.MachinePage, requestedAt time.Time) {
	present := map[string]bool{}
	last := after
	for _, it := range page.Machines {
		present[it.ID], last = true, it.ID
	}
	cutoff := requestedAt.Add(-config.Seconds(2*s.c.cfg.Facts.Cloud.ListLagS) - time.Second)
	for _, m := range s.machinesByName {
		if m.id > after && (m.id <= last || !page.More) && !present[m.id] && !m.expectedInListSince.IsZero() && m.expectedInListSince.Before(cutoff) {
			s.release(m, releaseUnlisted)
		}
	}
}

// handleListed updates or adds a machine that the cloud lists: it probes the machine if it may be up without having sent a
// heartbeat, and releases it if the cloud lists it as failed and no heartbeats contradict that.
func (s *autoscaler) handleListed(it wire.Machine) {
	if at, ok := s.released[it.ID]; ok {
		// Still listed long after its release: the machine came up after it, or the release was lost. The next
		// listing adds the machine again.
		if s.c.now.Sub(at) > 4*config.Seconds(s.c.cfg.Facts.Cloud.ListLagS)+30*time.Second {
			delete(s.released, it.ID)
		}
		return
	}
	m, known := s.machines[it.ID]
	if !known {
		m = s.machine(it.ID)
		m.knownSince = s.c.now.Add(-config.Seconds(max(it.AgeS, 0)))
		s.c.log(slog.LevelInfo, "machine found in the list", "machine", it.ID, "type", it.Type, "state", it.State)
	}
	if m.expectedInListSince.IsZero() {
		m.expectedInListSince = s.c.now
	}
	if !m.up && it.State == wire.MachineRunning && it.Addr != "" && m.addr != it.Addr {
		s.probe(it.ID, it.Addr) // once for each address, as a machine that has failed does not answer
	}
	if !m.up {
		m.typ, m.zone, m.spot, m.addr = it.Type, it.Zone, it.Spot, it.Addr
	}
	if it.State == wire.MachineFailed && (!m.up || s.failureDetector.unresponsive(m)) {
		s.release(m, releaseFailedMachine)
	}
}
