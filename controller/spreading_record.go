package controller

import (
	"net/http"
	"time"

	"pumicefront/balance"
	"pumicefront/wire"
)

// The record of moves, which outlives its leader: until when moves may have been made.

// movesKey is where it is kept: no version without load spreading reads or writes there.
const movesKey = "b/moves"

// movesRecord is the record.
type movesRecord struct {
	UntilMS int64 `cbor:"u"`
}

// movesRecordCopy is the record as it is in the state service.
type movesRecordCopy struct {
	until     time.Time // moves may be begun until then
	version   uint64
	writing   bool
	keepUntil time.Time // what an earlier leader has placed may have moved lately until then
}

// How far ahead the record is written, and when it is written again.
const (
	movesAhead = time.Minute
	movesRenew = 20 * time.Second
)

// restoreMoves takes up the record of earlier leaders. What they have placed may have moved until then,
// and stays for as long as what has moved.
func (s *spreading) restoreMoves(items []wire.Item) {
	for _, it := range items {
		if it.Key != movesKey {
			continue
		}
		s.record.version = it.Version
		if rec := decode[movesRecord](it.Value); rec != nil {
			until := time.UnixMilli(rec.UntilMS)
			if most := s.c.now.Add(movesAhead); until.After(most) {
				until = most // the clock of the leader that wrote it may have been ahead
			}
			s.record.keepUntil = until.Add(s.settings().Stay)
		}
	}
}

// recordMoves reports whether moves may be begun by the record, and has it written where it is due.
func (s *spreading) recordMoves() bool {
	left := s.record.until.Sub(s.c.now)
	if left < movesRenew {
		s.writeMoves()
	}
	if left <= 0 {
		s.block = balance.RecordUnwritten
	}
	return left > 0
}

// writeMoves writes the record anew.
func (s *spreading) writeMoves() {
	if s.record.writing || !s.budget.allows(s.c.now, 1, false) {
		return
	}
	s.budget.spend(s.c.now, 1, false)
	s.record.writing = true
	until := s.c.now.Add(movesAhead)
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: movesKey, Version: s.record.version}},
		Then: []wire.Change{put(movesKey, movesRecord{until.UnixMilli()})},
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		switch {
		case s.c.lead != s.leader:
		case r.Status == http.StatusOK:
			s.record.writing, s.record.until, s.record.version = false, until, r.Txn.Revision
		default:
			s.c.after(retryPause, s.rereadMoves)
		}
	})
}

// rereadMoves finds out what became of a write that was not confirmed; it is written again when it is due.
func (s *spreading) rereadMoves() {
	if s.c.lead != s.leader {
		return
	}
	s.findOut(movesKey, func(it *wire.Item) {
		s.record.writing, s.record.version = false, 0
		if it != nil {
			s.record.version = it.Version
		}
	})
}
