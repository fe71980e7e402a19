package controller

import (
	"net/http"
	"time"

	"pumicefront/balance"
	"pumicefront/wire"
)

// The record of moves, which outlives its leader: it says until when moves may have been started.

// movesKey is the key of the record. Versions without load spreading neither read nor write it.
const movesKey = "b/moves"

// movesRecord is the record of moves as it is stored.
type movesRecord struct {
	UntilMS int64 `cbor:"u"`
}

// movesRecordState is what this leader knows of the record in the state service.
type movesRecordState struct {
	until             time.Time // moves may start until then
	version           uint64
	writeInFlight     bool
	restoredStayUntil time.Time // until then, attempts placed by an earlier leader stay: they may have moved recently
}

// How far ahead the record is written, and how long before that time it is written again.
const (
	movesRecordHorizon     = time.Minute
	movesRecordRenewMargin = 20 * time.Second
)

// restoreMovesRecord restores the record of earlier leaders. The tasks that they placed may have moved until the
// recorded time, and stay for as long as tasks that have moved.
func (s *spreading) restoreMovesRecord(items []wire.Item) {
	for _, it := range items {
		if it.Key != movesKey {
			continue
		}
		s.record.version = it.Version
		if rec := decode[movesRecord](it.Value); rec != nil {
			until := time.UnixMilli(rec.UntilMS)
			if latest := s.c.now.Add(movesRecordHorizon); until.After(latest) {
				until = latest // the clock of the leader that wrote it may have been ahead
			}
			s.record.restoredStayUntil = until.Add(s.settings().Stay)
		}
	}
}

// ensureMovesRecord reports whether the record allows moves to start, and writes it where it is due.
func (s *spreading) ensureMovesRecord() bool {
	left := s.record.until.Sub(s.c.now)
	if left < movesRecordRenewMargin {
		s.writeMovesRecord()
	}
	if left <= 0 {
		s.block = balance.RecordNotWritten
	}
	return left > 0
}

// writeMovesRecord extends the record if the write budget allows it.
func (s *spreading) writeMovesRecord() {
	if s.record.writeInFlight || !s.budget.allows(s.c.now, 1, false) {
		return
	}
	s.budget.spend(s.c.now, 1, false)
	s.record.writeInFlight = true
	until := s.c.now.Add(movesRecordHorizon)
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: movesKey, Version: s.record.version}},
		Then: []wire.Change{put(movesKey, movesRecord{until.UnixMilli()})},
	}
	s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		switch {
		case s.c.lead != s.leader:
		case r.Status == http.StatusOK:
			s.record.writeInFlight, s.record.until, s.record.version = false, until, r.Txn.Revision
		default:
			s.c.after(retryPause, s.rereadMovesRecord)
		}
	})
}

// rereadMovesRecord finds out whether an unconfirmed write took effect; the record is written again when it is due.
func (s *spreading) rereadMovesRecord() {
	if s.c.lead != s.leader {
		return
	}
	s.getWithRetry(movesKey, func(it *wire.Item) {
		s.record.writeInFlight, s.record.version = false, 0
		if it != nil {
			s.record.version = it.Version
		}
	})
}
