package controller

import (
	"pumicefront/cells"
	"pumicefront/wire"
)

// Records of jobs that go from cell to cell. The header of a job tells who may run it: at home its
// grant, at the holder its origin. What has ended at a holder leaves a fence.

// grantRecord says that another cell may run a job.
type grantRecord struct {
	Holder   cells.Cell  `cbor:"h"`
	Epoch    cells.Epoch `cbor:"e"`
	Recalled bool        `cbor:"r,omitempty"`
	Cancel   bool        `cbor:"x,omitempty"`
}

// originRecord says whose a job is that runs here.
type originRecord struct {
	Home     cells.Cell  `cbor:"h"`
	Epoch    cells.Epoch `cbor:"e"`
	Stopping bool        `cbor:"s,omitempty"`
	Cancel   bool        `cbor:"x,omitempty"`
}

// epochRecord is the counter that epochs come from.
type epochRecord struct {
	Epoch cells.Epoch `cbor:"e"`
}

// fenceRecord is how an epoch has ended here.
type fenceRecord struct {
	Epoch  cells.Epoch  `cbor:"e"`
	Result cells.Result `cbor:"r"`
}

// floorKey names the floor of a home.
func floorKey(home cells.Cell) string { return floorPrefix + string(home) }

// goneRecord says that operators vouch for a cell's having ended all that was granted to it up to
// an epoch: nothing of it runs any more.
type goneRecord struct {
	Epoch cells.Epoch `cbor:"e"`
	By    string      `cbor:"b"`
	AtMS  int64       `cbor:"t"`
}

// fenceKey names the fence of a home's job.
func fenceKey(home cells.Cell, job string) string { return fencePrefix + string(home) + "/" + job }

// homeRecord is a header as its home's side of the transfer.
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

// withHome returns a header with the home's side of the transfer in it.
func withHome(h headerRecord, r cells.HomeRecord) headerRecord {
	h.Grant = nil
	switch r.State {
	case cells.HomeOffered, cells.HomeHeld, cells.HomeRecalling:
		h.Grant = &grantRecord{Holder: r.Holder, Epoch: r.Epoch, Recalled: r.State == cells.HomeRecalling, Cancel: r.Cancel}
	case cells.HomeOver:
		h.Cancelled = h.Cancelled || r.Cancelled()
	}
	return h
}

// holderRecord is a header as its holder's side of the transfer.
func holderRecord(id string, h *headerRecord) cells.HolderRecord {
	o := h.Origin
	r := cells.HolderRecord{Home: o.Home, Job: id, Team: h.Job.Team, Epoch: o.Epoch, State: cells.HolderHolding, Cancel: o.Cancel}
	if o.Stopping {
		r.State = cells.HolderStopping
	}
	return r
}

// withHolder returns a header with the holder's side of the transfer in it. What stops here is
// cancelled like any job.
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

// CellCall asks the shell to send messages to another cell.
type CellCall struct {
	ID       uint64
	To       cells.Cell
	Floor    cells.Epoch
	Messages []CellMessage

	Challenge cells.Challenge // the last one that the other cell has sent
}

// CellReply answers a CellCall; not OK: no leader of that cell has answered.
type CellReply struct {
	ID       uint64
	OK       bool
	Messages []CellMessage
	Room     float64 // in cores, that the other cell lends now

	Challenge cells.Challenge // of the leader that has answered
}

// CellRequest are messages from another cell, to be answered with the same Req by a CellAnswer.
type CellRequest struct {
	Req      uint64
	From     cells.Cell
	Floor    cells.Epoch
	Messages []CellMessage

	Challenge cells.Challenge // the last one that the home has received; 0: none
}

// CellAnswer is what is on record here for another cell.
type CellAnswer struct {
	Messages []CellMessage
	Room     float64

	Challenge cells.Challenge // to be carried back with the next call
}
