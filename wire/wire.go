// Package wire holds the messages of the protocol and is the only place that
// knows how they are spelled: paths, field names and values. The rest of the
// code uses the Go names below.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Paths of the interfaces.
const (
	PathJobs     = "/v2/runs"
	PathAbort    = "/abort"
	PathReady    = "/ready"
	PathReport   = "/v1/report"
	PathCommands = "/commands"
	PathTypes    = "/flavors"
	PathMachines = "/hosts"
	PathRelease  = "/hosts/release"
	PathKV       = "/kv"
	PathTxn      = "/multi"
	PathLeases   = "/grants"
	PathTouch    = "/touch"
	PathWatch    = "/follow"
)

// MaxBody is the largest body of a request, and of an answer to workers and users.
const MaxBody = 64 << 10

// Values of the protocol's enumerations.
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

	WhyDone    = "done"
	WhyStopped = "halted"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyBusy    = "busy"
	WhyUnknown = "no_such"

	OpRun    = "run"
	OpStop   = "stop"
	OpForget = "forget"

	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Priorities from the highest to the lowest.
var Priorities = []string{"prod", "high", "standard", "best_effort"}

// Job is a submission that has passed Check.
type Job struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"lane"`
	Team        string   `cbor:"crew"`
	Kind        string   `cbor:"shape"`
	Priority    string   `cbor:"urgency"`
	Tasks       int      `cbor:"pieces"`
	CPUs        float64  `cbor:"cores"`
	GPUs        float64  `cbor:"gpus"`
	MemoryGB    float64  `cbor:"ram_gb"`
	Image       string   `cbor:"bundle"`
	ImageGB     float64  `cbor:"size_gb"`
	Types       []string `cbor:"builds,omitempty"`
	Zone        string   `cbor:"yard,omitempty"`
	OneZone     bool     `cbor:"one_zone"`
	Spread      bool     `cbor:"scatter"`
	Spot        bool     `cbor:"lendable"`
	EstimateS   float64  `cbor:"reckon_s"`
	CheckpointS float64  `cbor:"mark_s"`
	SaveS       float64  `cbor:"stash_s"`
	DeadlineS   *float64 `cbor:"due_s,omitempty"`
	Needs       []string `cbor:"waits_on,omitempty"` // jobs that must be done before any task of this one starts
}

// JobState answers a user about a job.
type JobState struct {
	ID      string `cbor:"uid"`
	State   string `cbor:"standing"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Error is the body of an answer that refuses a request.
type Error struct {
	Error string `cbor:"error"`
}

// Task is a task as a worker reports it.
type Task struct {
	ID      string `cbor:"piece"`
	Attempt uint64 `cbor:"try"`
	State   string `cbor:"standing"`
	Why     string `cbor:"cause,omitempty"`
	Saved   bool   `cbor:"stored,omitempty"`
}

// Report is a worker's view of its machine.
type Report struct {
	Machine string   `cbor:"host"`
	Addr    string   `cbor:"addr"`
	Type    string   `cbor:"build"`
	Zone    string   `cbor:"yard"`
	Spot    bool     `cbor:"lendable"`
	Session uint64   `cbor:"stint"`
	Seq     uint64   `cbor:"tally"`
	Token   uint64   `cbor:"baton"`
	NoticeS *float64 `cbor:"warning_s"`
	Tasks   []Task   `cbor:"pieces"`
}

// Newer reports whether r was made after the message with session and seq.
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Command tells a worker what to do with one attempt.
type Command struct {
	Op      string  `cbor:"verb"`
	Task    string  `cbor:"piece"`
	Attempt uint64  `cbor:"try"`
	GraceS  float64 `cbor:"leeway_s,omitempty"`
}

// ReportAnswer answers a report that this controller may answer.
type ReportAnswer struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// Redirect sends a worker to the leader, where it is known.
type Redirect struct {
	Leader string `cbor:"steward,omitempty"`
}

// Commands is the body of a direct command.
type Commands struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"stint"`
	Commands []Command `cbor:"orders"`
}

// MachineType is what the cloud says of a type.
type MachineType struct {
	Name      string   `cbor:"sku"`
	CPUs      float64  `cbor:"cores"`
	GPUs      float64  `cbor:"gpus"`
	MemoryGB  float64  `cbor:"ram_gb"`
	CacheGB   float64  `cbor:"local_gb"`
	FetchGBps float64  `cbor:"fetch_gb_per_s"`
	Price     float64  `cbor:"rate"`
	SpotPrice float64  `cbor:"low_price"`
	BootS     float64  `cbor:"boot_s"`
	Zones     []string `cbor:"yards"`
}

// MachineTypes answers the question for the types.
type MachineTypes struct {
	Types []MachineType `cbor:"builds"`
}

// Rent asks for machines.
type Rent struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"build"`
	Zone    string `cbor:"yard"`
	Spot    bool   `cbor:"lendable"`
	Count   int    `cbor:"how_many"`
}

// Names lists machines by name.
type Names struct {
	Machines []string `cbor:"hosts"`
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID    string  `cbor:"uid"`
	Addr  string  `cbor:"addr"`
	Type  string  `cbor:"build"`
	Zone  string  `cbor:"yard"`
	Spot  bool    `cbor:"lendable"`
	State string  `cbor:"standing"`
	AgeS  float64 `cbor:"age_s"`
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []Machine `cbor:"hosts"`
	More     bool      `cbor:"more"`
}

// Item is a key of the state service with its value.
type Item struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
	Lease   uint64          `cbor:"tenure,omitempty"`
}

// Page answers a range read.
type Page struct {
	Items    []Item `cbor:"pairs"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"ledger"`
}

// Cond requires a version of a key; 0: the key does not exist.
type Cond struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// Change sets or drops a key.
type Change struct {
	Put    string          `cbor:"set,omitempty"`
	Value  cbor.RawMessage `cbor:"data,omitempty"`
	Lease  uint64          `cbor:"tenure,omitempty"`
	Delete string          `cbor:"drop,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Cond   `cbor:"when"`
	Then []Change `cbor:"apply,omitempty"`
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `cbor:"ledger"`
	Failed   []string `cbor:"failed,omitempty"`
	Error    string   `cbor:"error,omitempty"`
}

// LeaseAsk asks for a lease.
type LeaseAsk struct {
	TTLms int64 `cbor:"life_ms"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease uint64 `cbor:"tenure"`
}

// Event is one change that a watch tells of.
type Event struct {
	Put     string          `cbor:"set,omitempty"`
	Delete  string          `cbor:"drop,omitempty"`
	Value   cbor.RawMessage `cbor:"data,omitempty"`
	Version uint64          `cbor:"stamp"`
}

// Watch answers a watch.
type Watch struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"news"`
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

// Marshal encodes a message. The types of this module always encode.
func Marshal(v any) []byte { return must(encMode.Marshal(v)) }

// Unmarshal decodes a message; fields that it does not know are ignored.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
