// Package controller is the core of pumicefront: a deterministic state machine that takes inputs
// and returns the messages to send, the calls to make and the answers to give. It does no I/O,
// starts no goroutine and reads no clock; the shell around it does (package server).
package controller

import (
	"log/slog"
	"time"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// Input is one of the requests, replies and messages that Step takes, or a Tick. Features declare further inputs in their
// own files.
type Input any

// Output is one of the answers, calls, messages and records that Step returns. Features declare further outputs in their
// own files.
type Output any

// Tick is the input for the passage of time, when there is no other input. It also makes the core load its watch cache and
// record this controller's version where that is still to be done.
type Tick struct{}

// UserOp is the kind of a user request.
type UserOp uint8

// The kinds of user requests. UserCancel cancels a job; UserReady is the load balancer's readiness probe.
const (
	UserSubmit UserOp = iota
	UserPoll
	UserCancel
	UserReady
)

// UserRequest is a user's request. Req is the ID that the shell gives a request, and its Answer has the same Req.
type UserRequest struct {
	Req  uint64
	Op   UserOp
	Job  string // the job's ID; empty for UserSubmit, whose Body contains it, and UserReady
	Body []byte // the encoded submission of UserSubmit
}

// ReportRequest is a worker's report, which is its heartbeat. Its Answer has the same Req.
type ReportRequest struct {
	Req    uint64
	Report wire.Report
}

// Answer is the response to the request with the same Req.
type Answer struct {
	Req        uint64
	Status     int           // HTTP status
	Body       any           // encoded by the shell
	RetryAfter time.Duration // for the Retry-After header; 0: none
}

// StateOp is a kind of call to the state service.
type StateOp uint8

// The kinds of calls to the state service.
const (
	OpGet StateOp = iota
	OpRange
	OpTxn
	OpGrant
	OpRenew
	OpRevoke
	OpWatch
)

// StateCall makes the shell call the state service once, without a retry.
type StateCall struct {
	ID       uint64
	Op       StateOp
	Key      string // the prefix for OpRange and OpWatch
	After    string // the key after which a page of OpRange starts; empty: the first page
	Txn      wire.Txn
	TTL      time.Duration // time to live of the lease that OpGrant requests
	Lease    uint64        // the lease of OpRenew and OpRevoke
	Revision uint64        // the revision after which the changes of OpWatch start
	Wait     time.Duration // how long OpWatch waits for a change
	Timeout  time.Duration
}

// StateReply is the result of a StateCall. Status 0 means that there was no response: the call may
// have been executed or may still be executed later.
type StateReply struct {
	ID     uint64
	Status int
	Item   wire.Item
	Page   wire.Page
	Txn    wire.TxnAnswer
	Grant  wire.LeaseAnswer
	Watch  wire.WatchAnswer
}

// CloudOp is a kind of call to the cloud.
type CloudOp uint8

// The kinds of calls to the cloud.
const (
	CloudTypes CloudOp = iota
	CloudList
	CloudRent
	CloudRelease
)

// CloudCall makes the shell call the cloud once, without a retry.
type CloudCall struct {
	ID         uint64
	Op         CloudOp
	After      string // the machine ID after which a page of CloudList starts; empty: the first page
	Rent       wire.RentRequest
	MachineIDs []string
	Timeout    time.Duration
}

// CloudReply is the result of a CloudCall. Status 0 means that there was no response.
type CloudReply struct {
	ID     uint64
	Status int
	Types  wire.MachineTypes
	Page   wire.MachinePage
	Rented wire.MachineIDs
}

// WorkerCall sends commands directly to a worker, instead of with the answer to its report.
type WorkerCall struct {
	ID       uint64
	Machine  string
	Addr     string
	Commands wire.Commands
	Timeout  time.Duration
}

// WorkerReply is the result of a WorkerCall. Status 0 means that there was no response: the
// commands may still be executed.
type WorkerReply struct {
	ID      uint64
	Machine string
	Status  int
	Report  wire.Report
}

// MeshMessage is a message from another controller.
type MeshMessage struct{ Envelope *mesh.Envelope }

// MeshSend sends a message to another controller.
type MeshSend struct {
	To       string
	Envelope *mesh.Envelope
}

// LogRecord is a log record, which the shell writes to its log. Attrs are key-value pairs as for slog.
type LogRecord struct {
	Level slog.Level
	Text  string
	Attrs []any
}
