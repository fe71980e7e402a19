// Package wire defines the messages of the protocols with users, workers, the cloud and
// the state service. It is the only package that contains their outer names: paths, field
// names and enumeration values. The rest of the code uses the Go names below.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Paths of the HTTP APIs.
const (
	PathJobs         = "/v2/runs"
	PathCancel       = "/abort"
	PathReady        = "/ready"
	PathReport       = "/v1/report"
	PathCommands     = "/commands"
	PathMachineTypes = "/flavors"
	PathMachines     = "/hosts"
	PathRelease      = "/hosts/release"
	PathKV           = "/kv"
	PathTxn          = "/multi"
	PathLeases       = "/grants"
	PathRenewLease   = "/touch"
	PathWatch        = "/follow"
)

// MaxBodyBytes is the largest body, in bytes, of a request, and of an answer to workers and users.
const MaxBodyBytes = 64 << 10

// Values of the protocol's enumerations: job kinds, job states, task states, reasons why a task ended, operations of
// commands, and machine states.
const (
	KindArray   = "sweep"
	KindGang    = "ensemble"
	KindService = "service"

	StateQueued    = "queued"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "withdrawn"

	TaskFetching = "pulling"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "ended"

	ExitReasonDone       = "done"
	ExitReasonStopped    = "halted"
	ExitReasonError      = "error"
	ExitReasonNoCapacity = "no_room"
	ExitReasonBusy       = "busy"
	ExitReasonUnknownJob = "no_such"

	OpRun    = "run"
	OpStop   = "stop"
	OpForget = "forget"

	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Priorities from the highest to the lowest.
var Priorities = []string{"prod", "high", "standard", "best_effort"}

// Job is a validated submission, as ParseJob returns it.
type Job struct {
	ID          string   `cbor:"uid"`                // job id, "req-" and up to 18 digits; a repeated submission has the same
	Class       string   `cbor:"lane"`               // class of jobs whose service-level objectives apply
	Team        string   `cbor:"crew"`               // team whose quota and fair share apply
	Kind        string   `cbor:"shape"`              // KindArray, KindGang or KindService
	Priority    string   `cbor:"urgency"`            // one of Priorities
	Tasks       int      `cbor:"pieces"`             // number of tasks, 1 to MaxTasks, numbered from 0
	CPUs        float64  `cbor:"cores"`              // cores that each task takes
	GPUs        float64  `cbor:"gpus"`               // GPUs that each task takes
	MemoryGB    float64  `cbor:"ram_gb"`             // memory that each task takes, in GB
	Image       string   `cbor:"bundle"`             // image that a machine fetches before a task starts
	ImageGB     float64  `cbor:"size_gb"`            // size of the image, in GB
	Types       []string `cbor:"builds,omitempty"`   // machine types allowed; empty: any
	Zone        string   `cbor:"yard,omitempty"`     // the only zone allowed; empty: any
	OneZone     bool     `cbor:"one_zone"`           // all tasks in one zone
	Spread      bool     `cbor:"scatter"`            // at most half of the tasks, rounded up, in one zone
	Spot        bool     `cbor:"lendable"`           // may run on spot instances
	EstimateS   float64  `cbor:"reckon_s"`           // the owner's estimate of a task's run time without the image fetch, in seconds; 0 for services
	CheckpointS float64  `cbor:"mark_s"`             // seconds of progress after which a task saves a checkpoint; 0: it never does
	SaveS       float64  `cbor:"stash_s"`            // seconds that a task needs to save a checkpoint when it is stopped
	DeadlineS   *float64 `cbor:"due_s,omitempty"`    // seconds from submission by which the job should be done; nil: no deadline
	Needs       []string `cbor:"waits_on,omitempty"` // jobs that must be done before any task of this one starts
}

// JobState answers a user's request for the state of a job.
type JobState struct {
	ID      string `cbor:"uid"`      // job id
	State   string `cbor:"standing"` // StateQueued, StateRunning, StateDone or StateCancelled
	Done    int    `cbor:"done"`     // tasks done, for display
	Running int    `cbor:"running"`  // tasks running, for display
}

// Error is the body of an answer that refuses a request.
type Error struct {
	Error string `cbor:"error"` // description of the error
}

// Task is the state of a task as reported by a worker.
type Task struct {
	ID         string `cbor:"piece"`            // task id: the job's id, "/" and the task's number (TaskID)
	Attempt    uint64 `cbor:"try"`              // attempt of the task, from 1
	State      string `cbor:"standing"`         // TaskFetching, TaskRunning, TaskSaving or TaskExited
	ExitReason string `cbor:"cause,omitempty"`  // why an exited task ended: one of the ExitReason values
	Saved      bool   `cbor:"stored,omitempty"` // a stopped task saved a checkpoint
}

// Report is a worker's periodic report on its machine. The controller core treats it as the worker's heartbeat.
type Report struct {
	Machine string   `cbor:"host"`      // machine id
	Addr    string   `cbor:"addr"`      // address of the worker, host:port
	Type    string   `cbor:"build"`     // machine type
	Zone    string   `cbor:"yard"`      // zone
	Spot    bool     `cbor:"lendable"`  // a spot instance
	Session uint64   `cbor:"stint"`     // worker session: starts at 1, incremented each time the worker's lease expires
	Seq     uint64   `cbor:"tally"`     // incremented with every report and every answer of the worker; the message with the larger (Session, Seq) is newer
	Token   uint64   `cbor:"baton"`     // highest fencing token that the worker has seen
	NoticeS *float64 `cbor:"warning_s"` // seconds until the cloud reclaims the spot instance; nil: no notice
	Tasks   []Task   `cbor:"pieces"`    // every task on the machine, including exited ones until an OpForget command removes them
}

// Newer reports whether r is newer than the message with the given session and seq.
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Command instructs a worker to run, stop or forget one attempt of a task.
type Command struct {
	Op      string  `cbor:"verb"`               // OpRun, OpStop or OpForget
	Task    string  `cbor:"piece"`              // task id
	Attempt uint64  `cbor:"try"`                // attempt that the command is about
	GraceS  float64 `cbor:"leeway_s,omitempty"` // seconds that a stopped task may take to save a checkpoint; 0: it stops at once
}

// ReportAnswer is the leader's answer to a report.
type ReportAnswer struct {
	Token    uint64    `cbor:"baton"`  // fencing token of the leader
	Commands []Command `cbor:"orders"` // executed in order
}

// Redirect refers a worker to the leader, where the leader is known.
type Redirect struct {
	Leader string `cbor:"steward,omitempty"` // member that leads; empty: not known
}

// Commands is the body of direct commands, which the leader sends to a worker outside of its answers to reports.
type Commands struct {
	Token    uint64    `cbor:"baton"`  // fencing token of the leader
	Session  uint64    `cbor:"stint"`  // worker session that the commands are for
	Commands []Command `cbor:"orders"` // executed in order
}

// MachineType describes a machine type that the cloud offers.
type MachineType struct {
	Name      string   `cbor:"sku"`            // type name
	CPUs      float64  `cbor:"cores"`          // cores
	GPUs      float64  `cbor:"gpus"`           // GPUs
	MemoryGB  float64  `cbor:"ram_gb"`         // memory, in GB
	CacheGB   float64  `cbor:"local_gb"`       // local disk for images, in GB
	FetchGBps float64  `cbor:"fetch_gb_per_s"` // rate of an image fetch, in GB per second
	Price     float64  `cbor:"rate"`           // price per hour of an ordinary instance
	SpotPrice float64  `cbor:"low_price"`      // current price per hour of a spot instance
	BootS     float64  `cbor:"boot_s"`         // nominal boot time, in seconds
	Zones     []string `cbor:"yards"`          // zones that have the type
}

// MachineTypes is the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `cbor:"builds"` // every type that the cloud offers
}

// RentRequest is a request to the cloud to rent machines.
type RentRequest struct {
	Request string `cbor:"hire"`     // idempotency key: a repeated request with the same key rents no further machines; never reused
	Type    string `cbor:"build"`    // machine type
	Zone    string `cbor:"yard"`     // zone
	Spot    bool   `cbor:"lendable"` // spot instances
	Count   int    `cbor:"how_many"` // number of machines requested, at most 50
}

// MachineIDs lists machines by ID.
type MachineIDs struct {
	Machines []string `cbor:"hosts"` // machine ids
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID    string  `cbor:"uid"`      // machine id
	Addr  string  `cbor:"addr"`     // address of its worker, host:port
	Type  string  `cbor:"build"`    // machine type
	Zone  string  `cbor:"yard"`     // zone
	Spot  bool    `cbor:"lendable"` // a spot instance
	State string  `cbor:"standing"` // MachineBooting, MachineRunning or MachineFailed
	AgeS  float64 `cbor:"age_s"`    // seconds since the machine was requested, at the time that the list describes
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []Machine `cbor:"hosts"` // ordered by machine id
	More     bool      `cbor:"more"`  // another page follows
}

// Item is a key of the state service with its value.
type Item struct {
	Key     string          `cbor:"k"`                // key
	Value   cbor.RawMessage `cbor:"data"`             // value, as stored
	Version uint64          `cbor:"stamp"`            // revision of the key's last change
	Lease   uint64          `cbor:"tenure,omitempty"` // lease that the key is attached to; 0: none
}

// Page answers a range read.
type Page struct {
	Items    []Item `cbor:"pairs"`  // in key order
	More     bool   `cbor:"more"`   // another page follows
	Revision uint64 `cbor:"ledger"` // revision of the store at the time of the read
}

// Cond requires a version of a key; 0: the key does not exist.
type Cond struct {
	Key     string `cbor:"k"`     // key
	Version uint64 `cbor:"stamp"` // revision of its last change that is required; 0: the key must not exist
}

// Change sets or deletes a key.
type Change struct {
	Put    string          `cbor:"set,omitempty"`    // key to set; empty where Delete is set
	Value  cbor.RawMessage `cbor:"data,omitempty"`   // value to set
	Lease  uint64          `cbor:"tenure,omitempty"` // lease to attach the key to; 0: none, which detaches it
	Delete string          `cbor:"drop,omitempty"`   // key to delete
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Cond   `cbor:"when"`            // conditions of the compare-and-swap, all of which must hold
	Then []Change `cbor:"apply,omitempty"` // changes applied if they hold; empty: it only compares
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `cbor:"ledger"`           // revision after the transaction, or of the store where it failed
	Failed   []string `cbor:"failed,omitempty"` // keys whose conditions failed
	Error    string   `cbor:"error,omitempty"`  // why the transaction was refused, such as "no such lease"
}

// LeaseRequest is a request to grant a lease.
type LeaseRequest struct {
	TTLMS int64 `cbor:"life_ms"` // time to live of the lease, in milliseconds, 100 to 600,000
}

// LeaseAnswer answers a LeaseRequest with the new lease.
type LeaseAnswer struct {
	Lease uint64 `cbor:"tenure"` // lease id
}

// Event is one change delivered by a watch.
type Event struct {
	Put     string          `cbor:"set,omitempty"`  // key that was set
	Delete  string          `cbor:"drop,omitempty"` // key that was deleted
	Value   cbor.RawMessage `cbor:"data,omitempty"` // value that was set
	Version uint64          `cbor:"stamp"`          // revision of the change
}

// WatchAnswer answers a watch request.
type WatchAnswer struct {
	Revision uint64  `cbor:"ledger"` // revision up to which the changes are complete
	Events   []Event `cbor:"news"`   // changes in the order of their revisions
}

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxArrayElements:  1 << 20,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a message. It panics if the value cannot be encoded, which does not happen for the types that this
// module passes to it.
func Marshal(v any) []byte { return must(encMode.Marshal(v)) }

// Unmarshal decodes a message; unknown fields are ignored. The error names the Go
// type and wraps the decoder's error.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
