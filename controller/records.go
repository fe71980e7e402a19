package controller

import (
	"errors"
	"fmt"
	"strings"

	"pumicefront/wire"
)

// The records stored in the state service. Their keys and fields must stay readable by earlier
// versions, see versions_test.go.

// Keys in the state service. Every controller watches everything under watchedPrefix. Task and
// rental records are read by a new leader; later, a leader reads the task records of a job only to
// determine the result of a write.
const (
	watchedPrefix = "c/"
	leaderKey     = "c/leader"
	tokenKey      = "c/token"
	typesKey      = "c/types"
	headerPrefix  = "c/j/"
	finalPrefix   = "f/"
	taskPrefix    = "t/"
	rentalPrefix  = "h/"
	versionPrefix = "c/v/"
	epochKey      = "c/epoch" // for grants to other cells, like the keys below; see cell_records.go
	fencePrefix   = "y/"
	floorPrefix   = "w/"
	gonePrefix    = "c/gone/"
)

// leaderRecord names the leader and its lease in the state service.
type leaderRecord struct {
	Member string `cbor:"m"`
	Lease  uint64 `cbor:"l"`
}

// tokenRecord is the counter from which fencing tokens are allocated.
type tokenRecord struct {
	Token uint64 `cbor:"n"`
}

// headerRecord is the header of an unfinished job. Any controller may create it or mark it as
// cancelled; only the leader deletes it.
type headerRecord struct {
	Job           wire.Job `cbor:"j"`
	Cancelled     bool     `cbor:"x,omitempty"`
	AcceptedMS    int64    `cbor:"t"`
	TasksPerChunk int      `cbor:"per"` // number of tasks in each of its task records

	Grant  *grantRecord  `cbor:"g,omitempty"` // the job is granted to another cell and must not run in this one
	Origin *originRecord `cbor:"o,omitempty"` // the job belongs to another cell, which granted it to this one
}

// check reports an error if a leader can't run the job that the header describes.
func (h *headerRecord) check() error {
	if h.TasksPerChunk < 0 || h.TasksPerChunk > maxTasksPerChunk {
		return errTasksPerChunk
	}
	return h.Job.CheckAmounts()
}

// maxTasksPerChunk bounds the number of tasks in a task record: far more than a value of any size limit holds.
const maxTasksPerChunk = 1 << 30

var errTasksPerChunk = errors.New("number of tasks in a task record is out of range")

// finalRecord is the record of a finished or cancelled job.
type finalRecord struct {
	Cancelled bool  `cbor:"x,omitempty"`
	Tasks     int   `cbor:"n"`
	EndedMS   int64 `cbor:"e,omitempty"` // when it ended: jobs that need this job are ready from then on at the earliest
}

// taskRecord holds the state of one chunk of a job's tasks: the completed tasks, as ranges, and the
// active attempts.
type taskRecord struct {
	Write  uint64         `cbor:"w"` // ID of the write that stored this record, see resolve
	Next   uint64         `cbor:"n"` // the last attempt number allocated
	Done   [][2]int       `cbor:"d,omitempty"`
	Placed []placedRecord `cbor:"p,omitempty"`
}

// placedRecord is an active attempt.
type placedRecord struct {
	Task    int    `cbor:"t"`
	Attempt uint64 `cbor:"a"`
	Machine string `cbor:"m"`
	Session uint64 `cbor:"s"`
	Zone    string `cbor:"z"` // lets a new leader check constraints before the machine reports
}

// rentalRecord is a rental request and its answer. It is written before the request is sent, so
// that a new leader repeats only the requests without an answer.
type rentalRecord struct {
	Rent     wire.RentRequest `cbor:"r"`
	Answered bool             `cbor:"a,omitempty"`
	Machines []string         `cbor:"m,omitempty"`
}

func headerKey(job string) string { return headerPrefix + job }
func finalKey(job string) string  { return finalPrefix + job }

func chunkKey(job string, chunk int) string { return fmt.Sprintf("%s%s/%06d", taskPrefix, job, chunk) }

// dividedChunkKey returns the key of a divided record: one of a job whose header specifies more
// tasks per record than may be written now. It replaces what an undivided record contains for the
// same tasks.
func dividedChunkKey(job string, chunk int) string {
	return fmt.Sprintf("%s%s/s%06d", taskPrefix, job, chunk)
}

// parseChunkKey parses the key of a task record. divided is true for the key of a divided record.
func parseChunkKey(key string) (job string, chunk int, divided, ok bool) {
	job, num, found := strings.Cut(strings.TrimPrefix(key, taskPrefix), "/")
	if !found {
		return "", 0, false, false
	}
	num, divided = strings.CutPrefix(num, "s")
	_, err := fmt.Sscanf(num, "%d", &chunk)
	return job, chunk, divided, err == nil && chunk >= 0
}

// tasksPerRecord returns how many tasks fit into one task record within the value size limit: an
// active attempt takes up to 75 characters as JSON.
func tasksPerRecord(valueKB float64) int { return max(1, int(valueKB*1024/80)) }

// headerReserve is the number of characters that a new header leaves free within the value size limit,
// since a cancellation adds to it.
const headerReserve = 64

// fits reports whether a value and the given number of additional characters are within the state
// service's size limit, which applies to the JSON form.
func fits(raw []byte, more int, valueKB float64) bool {
	return float64(wire.Size(raw)+more) <= valueKB*1024
}

// cancelledHeader returns the encoded header marked as cancelled. If an earlier version stored a
// larger header than may be written now, the fields that a cancelled job doesn't need are omitted.
func cancelledHeader(h headerRecord, valueKB float64) []byte {
	h.Cancelled = true
	raw := wire.Marshal(h)
	if !fits(raw, 0, valueKB) {
		h.Job.Types, h.Job.Needs, h.Job.Image, h.Job.Zone = nil, nil, "", ""
		raw = wire.Marshal(h)
	}
	return raw
}

func put(key string, v any) wire.Change { return wire.Change{Put: key, Value: wire.Marshal(v)} }
