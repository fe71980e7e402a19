package controller

import (
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/cells"
	"pumicefront/wire"
)

// Cells that operators declare gone: no proof can be had of what they hold, so somebody vouches for it.

// isGone reports whether operators vouch for the end of a grant.
func (s *cellSide) isGone(r cells.HomeRecord) bool {
	gone, is := s.c.control.gone[r.Holder]
	return is && r.Epoch <= gone.Epoch
}

// withoutGone leaves out the grants that operators vouch for. Their cell may be back before the writes
// that end them are made: it must not be told that they are open.
func (s *cellSide) withoutGone(open []cells.HomeRecord) []cells.HomeRecord {
	return slices.DeleteFunc(slices.Clone(open), s.isGone)
}

// takeFromGone ends the grants of cells that operators have declared gone.
func (s *cellSide) takeFromGone(open []cells.HomeRecord) {
	for _, r := range open {
		if h := s.c.control.headers[r.Job]; h != nil && s.isGone(r) {
			s.applyStatus(cells.Message{Kind: cells.KindStatus, From: r.Holder, Job: r.Job, Epoch: r.Epoch,
				State: cells.HolderEnded, Result: cells.ResultReturned}, h)
		}
	}
}

// CellGoneRequest declares a cell gone, to be answered with the same Req.
type CellGoneRequest struct {
	Req  uint64
	Cell cells.Cell
	By   string
}

// declareGone records who vouches for a cell's having ended all that it was granted.
func (c *Core) declareGone(r CellGoneRequest) {
	s := c.leadingCell()
	if s == nil {
		c.emit(Answer{Req: r.Req, Status: http.StatusServiceUnavailable})
		return
	}
	if s.links[r.Cell] == nil || r.By == "" {
		c.emit(Answer{Req: r.Req, Status: http.StatusBadRequest})
		return
	}
	key := gonePrefix + string(r.Cell)
	set := put(key, goneRecord{Epoch: c.control.epoch, By: r.By, AtMS: c.now.UnixMilli()})
	txn := wire.Txn{If: []wire.Cond{s.leadershipCondition(), {Key: epochKey, Version: c.control.versions[epochKey]}}, Then: []wire.Change{set}}
	c.log(slog.LevelInfo, "cell declared gone", "cell", r.Cell, "by", r.By, "epoch", c.control.epoch)
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(reply StateReply) {
		if reply.Status == http.StatusOK {
			c.written(wire.Event{Put: key, Value: set.Value, Version: reply.Txn.Revision})
		}
		c.emit(Answer{Req: r.Req, Status: reply.Status})
	})
}
