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

// Zone records in the state service, which preserve zone states across a failover.

// zonePrefix is the key prefix of zone records. Versions without zone recovery neither read nor write
// under it.
const zonePrefix = "z/"

// zoneRecords are the zone records as last known to be in the state service, by zone.
type zoneRecords map[string]*storedZoneRecord

// storedZoneRecord is one zone record as last known to be in the state service.
type storedZoneRecord struct {
	record   zones.Record
	version  uint64 // 0: no record is stored
	writing  bool
	dueSince time.Time // when the record was found to be out of date; zero: it is up to date
}

// maxRecordDelay is how long the write of a zone record waits for all other background writes. A
// bound is needed because under load those never end.
const maxRecordDelay = 5 * time.Second

// restoreZones restores the zone states from the records of earlier leaders. Records that are not
// restored, such as stale ones, are removed or replaced later by saveRecords.
func (z *zoneRecovery) restoreZones(items []wire.Item) {
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, zonePrefix)
		stored := &storedZoneRecord{version: it.Version}
		z.records[name] = stored
		rec := decode[zones.Record](it.Value)
		if rec != nil && z.tracker.Restore(name, *rec, z.c.now) {
			stored.record = *rec
			z.unfinishedRecoveries[name] = z.tracker.State(name) != zones.Healthy
		}
	}
}

// saveRecords writes the zone records that have changed, with at most one write in flight for each
// zone. It is the last to use the write budget of a step.
func (z *zoneRecovery) saveRecords() {
	if z == nil || z.c.now.Sub(z.recordsCheckedAt) < zoneCheckInterval || !z.c.now.Before(z.authority) || z.budget.paused(z.c.now) {
		return
	}
	z.recordsCheckedAt = z.c.now
	for _, name := range z.tracker.Names() {
		if z.records[name] == nil {
			z.records[name] = &storedZoneRecord{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(z.records)) {
		z.saveRecord(name, z.records[name])
	}
}

// saveRecord writes or removes one zone record if that is due and the write budget allows it.
func (z *zoneRecovery) saveRecord(name string, stored *storedZoneRecord) {
	if stored.writing {
		return
	}
	record, exists := z.tracker.Record(name, z.c.now)
	obsolete := !exists && stored.version > 0 && z.tracker.State(name) == zones.Healthy
	if !obsolete && (!exists || !record.NeedsWrite(stored.record)) {
		stored.dueSince = time.Time{}
		return
	}
	if stored.dueSince.IsZero() {
		stored.dueSince = z.c.now
	}
	urgent := z.c.now.Sub(stored.dueSince) > maxRecordDelay
	if !z.budget.allows(z.c.now, 1, urgent) {
		return
	}
	z.budget.spend(z.c.now, 1, urgent)
	if obsolete {
		z.writeRecord(name, stored, nil)
	} else {
		z.writeRecord(name, stored, &record)
	}
}

// writeRecord writes one zone record, or removes it if record is nil.
func (z *zoneRecovery) writeRecord(name string, stored *storedZoneRecord, record *zones.Record) {
	stored.writing = true
	key := zonePrefix + name
	change := wire.Change{Delete: key}
	if record != nil {
		change = put(key, *record)
	}
	txn := wire.Txn{If: []wire.Cond{z.leadershipCondition(), {Key: key, Version: stored.version}}, Then: []wire.Change{change}}
	z.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
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
		*stored = storedZoneRecord{}
		if record != nil {
			stored.version, stored.record = r.Txn.Revision, *record
		}
	})
}

// rereadRecord reads a zone record again after an unconfirmed write.
func (z *zoneRecovery) rereadRecord(name string) {
	z.getWithRetry(zonePrefix+name, func(it *wire.Item) {
		stored := storedZoneRecord{}
		if it != nil {
			stored.version = it.Version
			if rec := decode[zones.Record](it.Value); rec != nil {
				stored.record = *rec
			}
		}
		*z.records[name] = stored
	})
}
