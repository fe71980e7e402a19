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
func (l *leader) refreshTypes() {
	f := &l.fleet
	if f.asking || !f.typesAt.IsZero() && l.c.now.Sub(f.typesAt) < typesEvery {
		return
	}
	f.asking = l.call(CloudCall{Op: CloudTypes}, func(r CloudReply) {
		f.asking = false
		if r.Status != http.StatusOK {
			return
		}
		f.typesAt = l.c.now
		first := len(l.c.types) == 0
		l.c.setTypes(r.Types.Types)
		l.wantPlacement()
		if first || l.c.control.versions[typesKey] == 0 {
			txn := wire.Txn{If: []wire.Cond{l.leadershipCondition()}, Then: []wire.Change{put(typesKey, r.Types)}}
			l.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(StateReply) {})
		}
	})
}

// refreshList reads the cloud's list. It is late and may go back: it only adds
// machines that we don't know and shows failed ones; it never proves one gone.
func (l *leader) refreshList() {
	f := &l.fleet
	every := config.Seconds(math.Max(3, l.c.cfg.Facts.Cloud.ListLagS/2))
	if f.listing || l.c.now.Sub(f.listedAt) < every {
		return
	}
	f.listedAt = l.c.now
	l.listPage("")
}

func (l *leader) listPage(after string) {
	f, asked := &l.fleet, l.c.now
	f.listing = l.call(CloudCall{Op: CloudList, After: after}, func(r CloudReply) {
		f.listing = false
		if r.Status != http.StatusOK {
			return
		}
		for _, m := range r.Page.Machines {
			l.listed(m)
		}
		l.unlisted(after, r.Page, asked)
		if n := len(r.Page.Machines); r.Page.More && n > 0 {
			l.listPage(r.Page.Machines[n-1].ID)
		}
	})
}

// unlisted handles the machines that a page leaves out. The list is late by up to
// twice its lag, and a machine stays listed until it is gone: one that was listed or
// rented longer ago than that, and is not listed, is gone. Its silence would tell that
// only after a report's time; and a new leader, who finds it in the record of a rental
// of long ago, would take it for one that boots. It is no proof: it is released.
func (l *leader) unlisted(after string, page wire.MachinePage, asked time.Time) {
	there := map[string]bool{}
	last := after
	for _, it := range page.Machines {
		there[it.ID], last = true, it.ID
	}
	known := asked.Add(-config.Seconds(2*l.c.cfg.Facts.Cloud.ListLagS) - time.Second)
	for _, m := range l.fleetOrder {
		if m.id > after && (m.id <= last || !page.More) && !there[m.id] && !m.listed.IsZero() && m.listed.Before(known) {
			l.release(m, releaseUnlisted)
		}
	}
}

func (l *leader) listed(it wire.Machine) {
	if at, ok := l.released[it.ID]; ok {
		// Still listed long after its release: it came up late, or the release was lost.
		if l.c.now.Sub(at) > 4*config.Seconds(l.c.cfg.Facts.Cloud.ListLagS)+30*time.Second {
			delete(l.released, it.ID)
		}
		return
	}
	m, known := l.machines[it.ID]
	if !known {
		m = l.machine(it.ID)
		m.since = l.c.now.Add(-config.Seconds(it.AgeS))
		l.c.log(slog.LevelInfo, "machine found in the list", "machine", it.ID, "type", it.Type, "state", it.State)
	}
	if m.listed.IsZero() {
		m.listed = l.c.now
	}
	if !m.up && it.State == wire.MachineRunning && it.Addr != "" && m.addr != it.Addr {
		l.probe(it.ID, it.Addr) // once; what has died does not answer
	}
	if !m.up {
		m.typ, m.zone, m.spot, m.addr = it.Type, it.Zone, it.Spot, it.Addr
	}
	if it.State == wire.MachineFailed && (!m.up || l.unresponsive(m)) {
		l.release(m, releaseFailedMachine)
	}
}
