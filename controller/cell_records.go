package controller

import (
	"pumicefront/cells"
	"pumicefront/wire"
)

// Records of jobs transferred between cells. The header of a job says which cell may run it: at the home by its
// grant, at the holder by its origin. When an epoch ends at a holder, it leaves a fence.

// grantRecord records that another cell may run a job of this cell.
type grantRecord struct {
	Holder   cells.Cell  `cbor:"h"`
	Epoch    cells.Epoch `cbor:"e"`
	Recalled bool        `cbor:"r,omitempty"`
	Cancel   bool        `cbor:"x,omitempty"`
}

// originRecord records the home of a job that this cell holds.
type originRecord struct {
	Home     cells.Cell  `cbor:"h"`
	Epoch    cells.Epoch `cbor:"e"`
	Stopping bool        `cbor:"s,omitempty"`
	Cancel   bool        `cbor:"x,omitempty"`
}

// epochRecord is the counter that numbers the grants of this cell, and also the form in which a home's floor is
// recorded.
type epochRecord struct {
	Epoch cells.Epoch `cbor:"e"`
}

// fenceRecord records how an epoch has ended at this cell.
type fenceRecord struct {
	Epoch  cells.Epoch  `cbor:"e"`
	Result cells.Result `cbor:"r"`
}

// floorKey returns the key of a home's floor.
func floorKey(home cells.Cell) string { return floorPrefix + string(home) }

// goneRecord records an operator's assertion that a cell has ended every job granted to it up to an epoch, so that
// no task of these jobs runs there any more.
type goneRecord struct {
	Epoch cells.Epoch `cbor:"e"`
	By    string      `cbor:"b"`
	AtMS  int64       `cbor:"t"`
}

// fenceKey returns the key of the fence of a home's job.
func fenceKey(home cells.Cell, job string) string { return fencePrefix + string(home) + "/" + job }

// homeRecord returns the home's record of a transfer, as a job's header describes it.
func homeRecord(id string, h *headerRecord) cells.HomeRecord {
	r := cells.HomeRecord{Job: id, Team: h.Job.Team}
	if g := h.Grant; g != nil {
		r.Holder, r.Epoch, r.Cancel, r.State = g.Holder, g.Epoch, g.Cancel, cells.HomeOffered
		if g.Recalled {
			r.State = cells.HomeRecalling
		}
	}
	return r
}

// withHome returns a copy of a header that describes the home's record of a transfer.
func withHome(h headerRecord, r cells.HomeRecord) headerRecord {
	h.Grant = nil
	switch r.State {
	case cells.HomeOffered, cells.HomeHeld, cells.HomeRecalling:
		h.Grant = &grantRecord{Holder: r.Holder, Epoch: r.Epoch, Recalled: r.State == cells.HomeRecalling, Cancel: r.Cancel}
	case cells.HomeEnded:
		h.Cancelled = h.Cancelled || r.Cancelled()
	}
	return h
}

// holderRecord returns the holder's record of a transfer, as the header of a foreign job describes it.
func holderRecord(id string, h *headerRecord) cells.HolderRecord {
	o := h.Origin
	r := cells.HolderRecord{Home: o.Home, Job: id, Team: h.Job.Team, Epoch: o.Epoch, State: cells.HolderHolding, Cancel: o.Cancel}
	if o.Stopping {
		r.State = cells.HolderStopping
	}
	return r
}

// withHolder returns a copy of a header that describes the holder's record of a transfer. A job that is being
// stopped is marked as cancelled, so that it is stopped like any cancelled job.
func withHolder(h headerRecord, r cells.HolderRecord) headerRecord {
	stopping := r.State == cells.HolderStopping
	h.Origin = &originRecord{Home: r.Home, Epoch: r.Epoch, Stopping: stopping, Cancel: r.Cancel}
	h.Cancelled = stopping
	return h
}

// CellMessage is a message between cells, with the job's description if it is an offer.
type CellMessage struct {
	cells.Message
	Spec *wire.Job
}

// CellCall makes the shell send messages to another cell.
type CellCall struct {
	ID       uint64
	To       cells.Cell
	Floor    cells.Epoch
	Messages []CellMessage

	Challenge cells.Challenge // last challenge received from the other cell
}

// CellReply is the outcome of a CellCall. OK is false where no leader of that cell has answered.
type CellReply struct {
	ID             uint64
	OK             bool
	Messages       []CellMessage
	AvailableCores float64 // cores that the other cell still has available to lend

	Challenge cells.Challenge // of the leader that answered
}

// CellRequest is a call from another cell, answered by an Answer with the same Req and a CellAnswer as its body.
type CellRequest struct {
	Req      uint64
	From     cells.Cell
	Floor    cells.Epoch
	Messages []CellMessage

	Challenge cells.Challenge // last challenge that the calling cell has received; 0: none
}

// CellAnswer is the body of the answer to another cell: the recorded statuses of its jobs and the cores lent to it.
type CellAnswer struct {
	Messages       []CellMessage
	AvailableCores float64

	Challenge cells.Challenge // to be sent back with the next call
}
