package controller

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pumicefront/wire"
	"pumicefront/zones"
)

// Records of zones, which outlive their leader.

// zonePrefix is where they are kept: no version without zone recovery reads or writes there.
const zonePrefix = "z/"

// zoneRecords are the records as they are in the state service, by zone.
type zoneRecords map[string]*keptZone

// keptZone is one of them.
type keptZone struct {
	record   zones.Record
	version  uint64 // 0: none is kept
	writing  bool
	dueSince time.Time // when it was found to be out of date; zero: it is not
}

// recordAtMost is how long the record of a zone gives way to all other background writes: under
// load they never end.
const recordAtMost = 5 * time.Second

// restoreZones takes up what earlier leaders have kept; what is stale is removed in time.
func (z *zoneRecovery) restoreZones(items []wire.Item) {
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, zonePrefix)
		kept := &keptZone{version: it.Version}
		z.records[name] = kept
		rec := decode[zones.Record](it.Value)
		if rec != nil && z.tracker.Restore(name, *rec, z.c.now) {
			kept.record = *rec
			z.open[name] = z.tracker.State(name) != zones.Healthy
		}
	}
}

// keepRecords writes what has changed, last of all that the budget has changes for: at most one
// change for each zone at a time.
func (z *zoneRecovery) keepRecords() {
	if z == nil || z.c.now.Sub(z.keptAt) < zoneLookInterval || !z.c.now.Before(z.authority) || z.budget.paused(z.c.now) {
		return
	}
	z.keptAt = z.c.now
	for _, name := range z.tracker.Names() {
		if z.records[name] == nil {
			z.records[name] = &keptZone{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(z.records)) {
		z.keepRecord(name, z.records[name])
	}
}

// keepRecord writes one record, or removes it, if that is due.
func (z *zoneRecovery) keepRecord(name string, kept *keptZone) {
	if kept.writing {
		return
	}
	record, any := z.tracker.Record(name, z.c.now)
	obsolete := !any && kept.version > 0 && z.tracker.State(name) == zones.Healthy
	if !obsolete && (!any || !record.Worth(kept.record)) {
		kept.dueSince = time.Time{}
		return
	}
	if kept.dueSince.IsZero() {
		kept.dueSince = z.c.now
	}
	urgent := z.c.now.Sub(kept.dueSince) > recordAtMost
	if !z.budget.allows(z.c.now, 1, urgent) {
		return
	}
	z.budget.spend(z.c.now, 1, urgent)
	if obsolete {
		z.writeRecord(name, kept, nil)
	} else {
		z.writeRecord(name, kept, &record)
	}
}

// writeRecord writes one record; nil removes it.
func (z *zoneRecovery) writeRecord(name string, kept *keptZone, record *zones.Record) {
	kept.writing = true
	key := zonePrefix + name
	change := wire.Change{Delete: key}
	if record != nil {
		change = put(key, *record)
	}
	txn := wire.Txn{If: []wire.Cond{z.leadershipCondition(), {Key: key, Version: kept.version}}, Then: []wire.Change{change}}
	z.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if z.c.lead != z.leader {
			return
		}
		if r.Status != http.StatusOK {
			z.c.after(retryPause, func() {
				if z.c.lead == z.leader {
					z.rereadRecord(name)
				}
			})
			return
		}
		*kept = keptZone{}
		if record != nil {
			kept.version, kept.record = r.Txn.Revision, *record
		}
	})
}

// rereadRecord finds out what became of a write that was not confirmed.
func (z *zoneRecovery) rereadRecord(name string) {
	z.findOut(zonePrefix+name, func(it *wire.Item) {
		kept := keptZone{}
		if it != nil {
			kept.version = it.Version
			if rec := decode[zones.Record](it.Value); rec != nil {
				kept.record = *rec
			}
		}
		*z.records[name] = kept
	})
}
