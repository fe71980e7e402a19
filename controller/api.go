// Package controller is the core of pumicefront: a state machine that takes
// inputs and returns what to send, write and answer. It does no I/O, starts no
// goroutine and reads no clock; a shell around it does (package server).
package controller

import (
	"log/slog"
	"time"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// Input is one of the types below that Step takes.
type Input any

// Output is one of the types below that Step returns.
type Output any

// Tick tells only that time has passed.
type Tick struct{}

// UserOp is what a user asks for.
type UserOp uint8

// The requests of users, and the load balancer's probe.
const (
	UserSubmit UserOp = iota
	UserPoll
	UserAbort
	UserReady
)

// UserRequest is a request to be answered with the same Req.
type UserRequest struct {
	Req  uint64
	Op   UserOp
	Job  string
	Body []byte
}

// ReportRequest is a worker's report, to be answered with the same Req.
type ReportRequest struct {
	Req    uint64
	Report wire.Report
}

// Answer answers a request.
type Answer struct {
	Req        uint64
	Status     int
	Body       any
	RetryAfter time.Duration
}

// StateOp is a call of the state service.
type StateOp uint8

// The calls of the state service.
const (
	OpGet StateOp = iota
	OpRange
	OpTxn
	OpGrant
	OpTouch
	OpEnd
	OpWatch
)

// StateCall asks the shell to call the state service once.
type StateCall struct {
	ID       uint64
	Op       StateOp
	Key      string // or prefix
	After    string
	Txn      wire.Txn
	Life     time.Duration
	Lease    uint64
	Revision uint64
	Wait     time.Duration
	Timeout  time.Duration
}

// StateReply answers a StateCall; Status 0: no answer, it may have run or run later.
type StateReply struct {
	ID     uint64
	Status int
	Item   wire.Item
	Page   wire.Page
	Txn    wire.TxnAnswer
	Grant  wire.LeaseAnswer
	Watch  wire.Watch
}

// CloudOp is a call of the cloud.
type CloudOp uint8

// The calls of the cloud.
const (
	CloudTypes CloudOp = iota
	CloudList
	CloudRent
	CloudRelease
)

// CloudCall asks the shell to call the cloud once.
type CloudCall struct {
	ID      uint64
	Op      CloudOp
	After   string
	Rent    wire.Rent
	Names   []string
	Timeout time.Duration
}

// CloudReply answers a CloudCall; Status 0: no answer.
type CloudReply struct {
	ID     uint64
	Status int
	Types  wire.MachineTypes
	Page   wire.MachinePage
	Names  wire.Names
}

// WorkerCall sends direct commands to a worker.
type WorkerCall struct {
	ID       uint64
	Machine  string
	Addr     string
	Commands wire.Commands
	Timeout  time.Duration
}

// WorkerReply answers a WorkerCall; Status 0: no answer, it may still run.
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

// Event is a line for the log.
type Event struct {
	Level slog.Level
	Text  string
	Attrs []any
}
