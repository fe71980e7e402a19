package controller

import (
	"log/slog"
	"math"
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// What the cloud tells of machine types and machines.

// refreshTypes learns the machine types and hands them to the other controllers.
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
		s.wantPlacement()
		if first || s.c.control.versions[typesKey] == 0 {
			txn := wire.Txn{If: []wire.Cond{s.leadershipCondition()}, Then: []wire.Change{put(typesKey, r.Types)}}
			s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(StateReply) {})
		}
	})
}

// refreshList reads the cloud's list. It is late and may go back: it only adds
// machines that we don't know and shows failed ones; it never proves one gone.
func (s *autoscaler) refreshList() {
	every := config.Seconds(math.Max(3, s.c.cfg.Facts.Cloud.ListLagS/2))
	if s.listInFlight || s.c.now.Sub(s.listedAt) < every {
		return
	}
	s.listedAt = s.c.now
	s.listPage("")
}

func (s *autoscaler) listPage(after string) {
	asked := s.c.now
	s.listInFlight = s.callCloud(CloudCall{Op: CloudList, After: after}, func(r CloudReply) {
		s.listInFlight = false
		if r.Status != http.StatusOK {
			return
		}
		for _, m := range r.Page.Machines {
			s.listed(m)
		}
		s.unlisted(after, r.Page, asked)
		if n := len(r.Page.Machines); r.Page.More && n > 0 {
			s.listPage(r.Page.Machines[n-1].ID)
		}
	})
}

// unlisted handles the machines that a page leaves out. The list is late by up to
// twice its lag, and a machine stays listed until it is gone: one that was listed or
// requested longer ago than that, and is not listed, is gone. Its silence would tell that
// only after a report's time; and a new leader, who finds it in the record of an instance request
// of long ago, would take it for one that boots. It is no proof: it is released.
func (s *autoscaler) unlisted(after string, page wire.MachinePage, asked time.Time) {
	there := map[string]bool{}
	last := after
	for _, it := range page.Machines {
		there[it.ID], last = true, it.ID
	}
	known := asked.Add(-config.Seconds(2*s.c.cfg.Facts.Cloud.ListLagS) - time.Second)
	for _, m := range s.fleetOrder {
		if m.id > after && (m.id <= last || !page.More) && !there[m.id] && !m.listed.IsZero() && m.listed.Before(known) {
			s.release(m, releaseUnlisted)
		}
	}
}

func (s *autoscaler) listed(it wire.Machine) {
	if at, ok := s.released[it.ID]; ok {
		// Still listed long after its release: it came up late, or the release was lost.
		if s.c.now.Sub(at) > 4*config.Seconds(s.c.cfg.Facts.Cloud.ListLagS)+30*time.Second {
			delete(s.released, it.ID)
		}
		return
	}
	m, known := s.machines[it.ID]
	if !known {
		m = s.machine(it.ID)
		m.since = s.c.now.Add(-config.Seconds(it.AgeS))
		s.c.log(slog.LevelInfo, "machine found in the list", "machine", it.ID, "type", it.Type, "state", it.State)
	}
	if m.listed.IsZero() {
		m.listed = s.c.now
	}
	if !m.up && it.State == wire.MachineRunning && it.Addr != "" && m.addr != it.Addr {
		s.probe(it.ID, it.Addr) // once; what has died does not answer
	}
	if !m.up {
		m.typ, m.zone, m.spot, m.addr = it.Type, it.Zone, it.Spot, it.Addr
	}
	if it.State == wire.MachineFailed && (!m.up || s.failures.unresponsive(m)) {
		s.release(m, releaseFailedMachine)
	}
}
