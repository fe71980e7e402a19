package controller

import (
	"fmt"
	"strings"

	"pumicefront/wire"
)

// The values stored in the state service. Their keys and fields must stay readable by earlier
// versions, see versions_test.go.

// Keys of the state service. Everything under controlPrefix is watched by every
// controller; tasks and hires are read by a new leader alone.
const (
	controlPrefix = "c/"
	leaderKey     = "c/leader"
	tokenKey      = "c/token"
	typesKey      = "c/types"
	headerPrefix  = "c/j/"
	finalPrefix   = "f/"
	taskPrefix    = "t/"
	rentalPrefix  = "h/"
	versionPrefix = "c/v/"
	epochKey      = "c/epoch"
	fencePrefix   = "y/"
	floorPrefix   = "w/"
	gonePrefix    = "c/gone/"
)

// leaderRecord says who leads.
type leaderRecord struct {
	Member string `cbor:"m"`
	Lease  uint64 `cbor:"l"`
}

// tokenRecord is the counter that tokens come from.
type tokenRecord struct {
	Token uint64 `cbor:"n"`
}

// headerRecord is the record of an unfinished job. Any controller creates and
// cancels it; only the leader removes it.
type headerRecord struct {
	Job        wire.Job `cbor:"j"`
	Cancelled  bool     `cbor:"x,omitempty"`
	AcceptedMS int64    `cbor:"t"`
	PerChunk   int      `cbor:"per"` // tasks in each of its task records

	Grant  *grantRecord  `cbor:"g,omitempty"` // another cell may run it, and nobody here
	Origin *originRecord `cbor:"o,omitempty"` // it is another cell's, and may run here
}

// finalRecord is what is kept of a job that is over.
type finalRecord struct {
	Cancelled bool  `cbor:"x,omitempty"`
	Tasks     int   `cbor:"n"`
	EndedMS   int64 `cbor:"e,omitempty"` // jobs that need it count their times from then
}

// taskRecord holds a run of a job's tasks: those completed, as ranges, and the
// attempts in force.
type taskRecord struct {
	Write  uint64         `cbor:"w"` // tells the writes of one leader apart
	Next   uint64         `cbor:"n"` // the last attempt number given
	Done   [][2]int       `cbor:"d,omitempty"`
	Placed []placedRecord `cbor:"p,omitempty"`
}

// placedRecord is an attempt in force.
type placedRecord struct {
	Task    int    `cbor:"t"`
	Attempt uint64 `cbor:"a"`
	Machine string `cbor:"m"`
	Session uint64 `cbor:"s"`
	Zone    string `cbor:"z"` // constraints are checked before the machine reports again
}

// rentalRecord is a rental request, written before it is made, and its answer, so that
// a new leader asks again only for what has none.
type rentalRecord struct {
	Rent     wire.Rent `cbor:"r"`
	Answered bool      `cbor:"a,omitempty"`
	Machines []string  `cbor:"m,omitempty"`
}

func headerKey(job string) string { return headerPrefix + job }
func finalKey(job string) string  { return finalPrefix + job }

func chunkKey(job string, chunk int) string { return fmt.Sprintf("%s%s/%06d", taskPrefix, job, chunk) }

// dividedChunkKey names a record of a job whose header asks for larger ones than may be
// written: what it holds stands for its tasks instead of what a larger one says.
func dividedChunkKey(job string, chunk int) string {
	return fmt.Sprintf("%s%s/s%06d", taskPrefix, job, chunk)
}

// splitChunk takes a task record's key apart.
func splitChunk(key string) (job string, chunk int, small, ok bool) {
	job, num, found := strings.Cut(strings.TrimPrefix(key, taskPrefix), "/")
	if !found {
		return "", 0, false, false
	}
	num, small = strings.CutPrefix(num, "s")
	_, err := fmt.Sscanf(num, "%d", &chunk)
	return job, chunk, small, err == nil
}

// tasksPerRecord is how many tasks go into one task record so that it stays within
// the largest value: a placement takes up to 75 characters of it as JSON.
func tasksPerRecord(valueKB float64) int { return max(1, int(valueKB*1024/80)) }

// headerRoom is what a header leaves of the largest value: a cancellation adds to it.
const headerRoom = 64

// fits reports whether a value, and as many characters more, is within the state service's
// limit, which counts the JSON form.
func fits(raw []byte, more int, valueKB float64) bool {
	return float64(wire.Size(raw)+more) <= valueKB*1024
}

// cancelledHeader is a header with the cancellation in it. Where an earlier version has
// stored more than may be written now, what nobody needs of a cancelled job is
// left out.
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
