package controller

import (
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/cells"
	"pumicefront/wire"
)

// Cells that operators declare gone. Such a cell can't report the end of the jobs that it holds, so an operator
// asserts that none of their tasks runs any more, and this cell, their home, takes the jobs back.

// declaredGone reports whether a grant is covered by an operator's declaration that its holder is gone.
func (s *spilloverManager) declaredGone(r cells.HomeRecord) bool {
	declaration, declared := s.c.watchCache.declaredGone[r.Holder]
	return declared && r.Epoch <= declaration.Epoch
}

// excludeDeclaredGone returns the open grants without those covered by a declaration. The declared cell may be reachable
// again before the writes that end these grants are made, and no call may then confirm to it that they are open.
func (s *spilloverManager) excludeDeclaredGone(open []cells.HomeRecord) []cells.HomeRecord {
	return slices.DeleteFunc(slices.Clone(open), s.declaredGone)
}

// reclaimFromDeclaredGone ends the grants of cells that operators have declared gone.
func (s *spilloverManager) reclaimFromDeclaredGone(open []cells.HomeRecord) {
	for _, r := range open {
		if h := s.c.watchCache.headers[r.Job]; h != nil && s.declaredGone(r) {
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

// declareGone records an operator's assertion that a cell has ended every job granted to it so far, and the operator's
// name.
func (c *Core) declareGone(r CellGoneRequest) {
	s := c.activeSpilloverManager()
	if s == nil {
		c.emit(Answer{Req: r.Req, Status: http.StatusServiceUnavailable})
		return
	}
	if s.links[r.Cell] == nil || r.By == "" {
		c.emit(Answer{Req: r.Req, Status: http.StatusBadRequest})
		return
	}
	key := gonePrefix + string(r.Cell)
	set := put(key, goneRecord{Epoch: c.watchCache.epoch, By: r.By, AtMS: c.now.UnixMilli()})
	txn := wire.Txn{If: []wire.Cond{s.leadershipCondition(), {Key: epochKey, Version: c.watchCache.versions[epochKey]}}, Then: []wire.Change{set}}
	c.log(slog.LevelInfo, "cell declared gone", "cell", r.Cell, "by", r.By, "epoch", c.watchCache.epoch)
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(reply StateReply) {
		if reply.Status == http.StatusOK {
			c.applyOwnChange(wire.Event{Put: key, Value: set.Value, Version: reply.Txn.Revision})
		}
		c.emit(Answer{Req: r.Req, Status: reply.Status})
	})
}
