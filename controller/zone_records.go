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

// Zone records in the state service, which preserve the states of zones across a failover of the leader.

// zonePrefix is the key prefix of zone records. Versions of this program without zone recovery neither
// read nor write keys with this prefix.
const zonePrefix = "z/"

// zoneRecords are the zone records as last known to be in the state service, by zone.
type zoneRecords map[string]*storedZoneRecord

// storedZoneRecord is one zone record as last known to be in the state service.
type storedZoneRecord struct {
	record        zones.Record
	version       uint64 // 0: no record is stored
	writeInFlight bool
	dueSince      time.Time // when the record was found to be out of date; zero: it is up to date
}

// maxRecordDelay is how long the write of a zone record may be deferred because other background writes
// have used up their share of the write budget. After that it counts as urgent and is limited by the whole
// budget only. Without this bound the record might never be written under sustained load.
const maxRecordDelay = 5 * time.Second

// restoreZones restores the zone states from the records of earlier leaders. Records that are not
// restored, such as stale ones, are kept with their versions only; saveRecords later removes them, or
// replaces them if their zone has a state to record.
func (z *zoneRecovery) restoreZones(items []wire.Item) {
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, zonePrefix)
		stored := &storedZoneRecord{version: item.Version}
		z.records[name] = stored
		record := decode[zones.Record](item.Value)
		if record != nil && z.tracker.Restore(name, *record, z.c.now) {
			stored.record = *record
			z.unfinishedRecoveries[name] = z.tracker.State(name) != zones.Healthy
		}
	}
}

// saveRecords writes the zone records that have changed, with at most one write in flight for each
// zone. It does nothing if zone recovery is disabled (z is nil). The leader calls it after all other
// writers of a step, so that it takes only what they leave of the write budget.
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
	if stored.writeInFlight {
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
	stored.writeInFlight = true
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

// rereadRecord reads a zone record again after a write that was rejected or got no answer.
func (z *zoneRecovery) rereadRecord(name string) {
	z.getWithRetry(zonePrefix+name, func(item *wire.Item) {
		reread := storedZoneRecord{}
		if item != nil {
			reread.version = item.Version
			if record := decode[zones.Record](item.Value); record != nil {
				reread.record = *record
			}
		}
		*z.records[name] = reread
	})
}
