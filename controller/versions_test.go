package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// fixture is data written by an earlier version: values in the state service by key, messages between
// controllers by name, and the protobuf descriptor of those messages under "described".
type fixture struct{ Records, Messages map[string][]byte }

// The earlier versions whose data must stay readable. Each testdata/NAME.json was made by
// testdata/NAME.go.txt, run as a test in package controller of the commit named here.
const (
	version1Fixture = "before-chains" // commit 4401b8b, version 1
	version2Fixture = "chains"        // commit 982ebb7, version 2
)

func readFixture(t *testing.T, name string) fixture {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	var f fixture
	if err := json.Unmarshal(raw, &f); err != nil {
		t.Fatal(err)
	}
	return f
}

// recoverFixture returns a leader that has recovered from the records of an earlier version, with
// upcoming limits far below those under which the records were written.
func recoverFixture(t *testing.T, name string) (*Core, *leader, fixture) {
	t.Helper()
	c, _, _ := newLeadingCore(t)
	p := readFixture(t, name)
	st := &c.cfg.Facts.State
	kb, ops := 2.0, 5
	st.Limits = config.Limits{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 16}
	st.Next.ValueKB, st.Next.TxnOps = &kb, &ops
	version := uint64(10)
	var tasks, rentals []wire.Item
	for _, key := range slices.Sorted(maps.Keys(p.Records)) {
		raw := p.Records[key]
		version++
		switch {
		case strings.HasPrefix(key, taskPrefix):
			tasks = append(tasks, wire.Item{Key: key, Value: raw, Version: version})
		case strings.HasPrefix(key, rentalPrefix):
			rentals = append(rentals, wire.Item{Key: key, Value: raw, Version: version})
		case strings.HasPrefix(key, watchedPrefix) && key != leaderKey && key != tokenKey:
			c.applyEvent(wire.Event{Put: key, Value: raw, Version: version})
		}
	}
	c.lead = nil
	c.becomeLeader(c.now, 2, 8, version+1)
	c.lead.rebuild(tasks, rentals)
	return c, c.lead, p
}

// setMemberVersions sets the recorded version of every member.
func setMemberVersions(c *Core, version int) {
	for _, m := range c.members() {
		c.watchCache.memberVersions[m] = version
	}
}

// A leader recovers from the records of version 1, which has no dependencies between jobs.
func TestRecoversFromVersion1(t *testing.T) {
	c, l, p := recoverFixture(t, version1Fixture)
	j := l.jobs["req-000001"]
	if j == nil || j.tasksPerRecord != 204 || len(j.attempts) != 185 || j.state.Count(reduction.Completed) != 11 || j.accepted.UnixMilli() != 1893456000000 {
		t.Fatalf("job req-000001: %+v", j)
	}
	if cancelled := l.jobs["req-000002"]; cancelled == nil || !cancelled.cancelled || !cancelled.dirty {
		t.Errorf("cancelled job: %+v", cancelled)
	}
	if h := l.autoscaler.requests["r-6-1"]; h == nil || !h.answered || len(h.machines) != 2 || l.machines["i-000031"] == nil {
		t.Errorf("rental: %+v", h)
	}
	if len(c.types) != 1 {
		t.Errorf("%d machine types, want 1", len(c.types))
	}
	if f := decode[finalRecord](p.Records[finalKey("req-000004")]); f == nil || !f.Cancelled || f.EndedMS != 0 {
		t.Errorf("final record: %+v", f)
	}
}

// Task records of version 1 that exceed the upcoming size limit keep their format while a member
// may still run version 1, and are written as smaller divided records after that.
func TestLargeRecordsAreDivided(t *testing.T) {
	c, l, _ := recoverFixture(t, version1Fixture)
	j := l.jobs["req-000001"]
	end := func(task int) {
		l.removeAttempt(j.attempts[task], reduction.Succeeded, proofFromHeartbeat(wire.ExitReasonDone))
		j.urgent = true
	}
	end(150)
	setMemberVersions(c, thisVersion)
	c.watchCache.memberVersions["n2"] = 0 // not upgraded yet
	w := l.writes.compose(j)
	if j.divided || len(w.txn.Then) != 1 || w.txn.Then[0].Put != chunkKey(j.id, 0) {
		t.Fatalf("divided %v, writes %+v", j.divided, w.txn.Then)
	}
	j.markUnwritten(w)
	setMemberVersions(c, thisVersion)
	var changes []wire.Change
	for w = l.writes.compose(j); w != nil; w = l.writes.compose(j) {
		if len(w.txn.Then) > 5 {
			t.Errorf("%d changes in one transaction, want at most 5", len(w.txn.Then))
		}
		changes = append(changes, w.txn.Then...)
		j.write = w
		l.writes.confirm(j, uint64(50+len(changes)))
	}
	if !j.divided || len(changes) == 0 {
		t.Fatalf("divided %v, writes %+v", j.divided, changes)
	}
	for _, change := range changes {
		if wire.Size(change.Value) > 2048 || !strings.HasPrefix(change.Put, taskPrefix+j.id+"/s") {
			t.Errorf("writes %d characters to %s", wire.Size(change.Value), change.Put)
		}
	}
	// The next leader reads both kinds of records; the divided ones take precedence.
	items := map[string][]byte{}
	for key, raw := range readFixture(t, version1Fixture).Records {
		if strings.HasPrefix(key, taskPrefix) {
			items[key] = raw
		}
	}
	for _, change := range changes {
		items[change.Put] = change.Value
	}
	var tasks []wire.Item
	for _, key := range slices.Sorted(maps.Keys(items)) {
		tasks = append(tasks, wire.Item{Key: key, Value: items[key], Version: 99})
	}
	c.lead = nil
	c.becomeLeader(c.now, 3, 9, 100)
	c.lead.rebuild(tasks, nil)
	recovered := c.lead.jobs[j.id]
	if recovered.state.Status(150) != reduction.Completed || recovered.attempts[150] != nil || len(recovered.attempts) != 184 {
		t.Errorf("task 150 is %v, %d attempts", recovered.state.Status(150), len(recovered.attempts))
	}
	for task, a := range recovered.attempts {
		if next := recovered.chunks[task/recovered.tasksPerRecord].lastAttempt; a.number > next {
			t.Fatalf("task %d has attempt %d, but the last allocated number is %d", task, a.number, next)
		}
	}
	if n := len(recovered.undividedKeys); n != 2 {
		t.Errorf("%d undivided records to delete when the job is finished, want 2", n)
	}
}

// A leader recovers from the records of version 2, the first with dependencies between jobs: running
// tasks continue, jobs that wait for others are blocked, and the dependents of a cancelled job stay
// cancelled.
func TestRecoversFromVersion2(t *testing.T) {
	c, l, p := recoverFixture(t, version2Fixture)
	first := l.jobs["req-000010"]
	if first == nil || first.state.Count(reduction.Completed) != 2 || len(first.attempts) != 1 || l.blocked(first) {
		t.Fatalf("first job of the chain: %+v", first)
	}
	if first.terms.Rank != 1 || first.deadline.fromJob == nil || first.deadline.fromJob.ID != "req-000012" {
		t.Errorf("first job has rank %d and deadline %+v", first.terms.Rank, first.deadline)
	}
	for _, id := range []string{"req-000011", "req-000012", "req-000015"} {
		if j := l.jobs[id]; j == nil || !l.blocked(j) || j.cancelled {
			t.Errorf("%s is not blocked: %+v", id, j)
		}
	}
	for _, id := range []string{"req-000013", "req-000014", "req-000016"} {
		if j := l.jobs[id]; j == nil || !j.cancelled || c.jobState(id).State != wire.StateCancelled {
			t.Errorf("%s is not cancelled: %+v", id, j)
		}
	}
	c.applyFinal("req-000003", *decode[finalRecord](p.Records[finalKey("req-000003")]))
	if !l.blocked(l.jobs["req-000015"]) {
		t.Error("req-000015 is not blocked although req-000010 is running")
	}
	divided := l.jobs["req-000001"]
	if !divided.divided || divided.state.Status(12) != reduction.Completed || divided.attempts[20] == nil || divided.attempts[30] == nil {
		t.Errorf("job with divided records: %+v", divided)
	}
}

// sameFields reports whether two encoded records hold the same fields and values.
func sameFields(t *testing.T, read, written []byte) bool {
	t.Helper()
	var was, is any
	if wire.Unmarshal(read, &was) != nil || wire.Unmarshal(written, &is) != nil {
		t.Fatal("a record can't be decoded")
	}
	return reflect.DeepEqual(was, is)
}

// reencode decodes a record of an earlier version and encodes it again.
func reencode(t *testing.T, key string, raw []byte) []byte {
	t.Helper()
	switch {
	case strings.HasPrefix(key, headerPrefix):
		return wire.Marshal(decode[headerRecord](raw))
	case strings.HasPrefix(key, finalPrefix):
		return wire.Marshal(decode[finalRecord](raw))
	case strings.HasPrefix(key, taskPrefix):
		return wire.Marshal(decode[taskRecord](raw))
	case strings.HasPrefix(key, rentalPrefix):
		return wire.Marshal(decode[rentalRecord](raw))
	case strings.HasPrefix(key, versionPrefix):
		return wire.Marshal(decode[versionRecord](raw))
	case key == leaderKey:
		return wire.Marshal(decode[leaderRecord](raw))
	case key == tokenKey:
		return wire.Marshal(decode[tokenRecord](raw))
	case key == typesKey:
		return wire.Marshal(decode[wire.MachineTypes](raw))
	}
	t.Fatalf("no record type for key %s", key)
	return nil
}

// Records that this version writes keep every field of an earlier version under the same key and
// name, so that an earlier version loses no job, cancellation or placement.
func TestEarlierVersionsReadRecords(t *testing.T) {
	for _, name := range []string{version1Fixture, version2Fixture} {
		for key, raw := range readFixture(t, name).Records {
			if !sameFields(t, raw, reencode(t, key, raw)) {
				t.Errorf("%s: %s differs after decoding and encoding", name, key)
			}
		}
	}
	if sameFields(t, wire.Marshal(finalRecord{Tasks: 3}), wire.Marshal(finalRecord{Tasks: 3, EndedMS: 7})) {
		t.Error("sameFields misses a difference")
	}
}

// The records as version 1 decodes them. It ignores unknown fields.
type (
	oldHeader struct {
		Job        oldJob `cbor:"j"`
		Cancelled  bool   `cbor:"x,omitempty"`
		AcceptedMS int64  `cbor:"t"`
		PerChunk   int    `cbor:"per"`
	}
	oldJob struct {
		ID    string `cbor:"uid"`
		Class string `cbor:"lane"`
		Team  string `cbor:"crew"`
		Tasks int    `cbor:"pieces"`
	}
	oldFinal struct {
		Cancelled bool `cbor:"x,omitempty"`
		Tasks     int  `cbor:"n"`
	}
)

// Version 1 can decode records with the fields that were added later, and doesn't take the new keys
// for keys of its own.
func TestVersion1ReadsNewRecords(t *testing.T) {
	job := wire.Job{ID: "req-000009", Class: "batch", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 30, CPUs: 1,
		Image: "img-0", Needs: []string{"req-000001"}}
	h := decode[oldHeader](wire.Marshal(headerRecord{Job: job, AcceptedMS: 5, TasksPerChunk: 25}))
	if h == nil || h.Job != (oldJob{"req-000009", "batch", "red", 30}) || h.PerChunk != 25 || h.AcceptedMS != 5 || h.Cancelled {
		t.Errorf("header: %+v", h)
	}
	big := job
	big.Types = strings.Split(strings.Repeat("some-machine-type ", 200), " ")
	raw := cancelledHeader(headerRecord{Job: big, TasksPerChunk: 204}, 2)
	if h := decode[oldHeader](raw); h == nil || !h.Cancelled || h.Job.Tasks != 30 || h.Job.Team != "red" || wire.Size(raw) > 2048 {
		t.Errorf("cancelled header of %d bytes: %+v", len(raw), h)
	}
	if f := decode[oldFinal](wire.Marshal(finalRecord{Tasks: 3, EndedMS: 7})); f == nil || f.Tasks != 3 || f.Cancelled {
		t.Errorf("final record: %+v", f)
	}
	for _, key := range []string{versionPrefix + "n1", dividedChunkKey("req-000009", 2)} {
		if strings.HasPrefix(key, headerPrefix) || key == leaderKey || key == tokenKey || key == typesKey {
			t.Errorf("version 1 takes key %s for one of its own", key)
		}
	}
}

// Mesh messages are compatible in both directions: messages of this version can be read with the
// protobuf descriptor of an earlier version, and messages of the earlier version by this one.
func TestMeshOfTwoVersions(t *testing.T) {
	for _, name := range []string{version1Fixture, version2Fixture} {
		t.Run(name, func(t *testing.T) { checkMessages(t, readFixture(t, name).Messages) })
	}
}

func checkMessages(t *testing.T, messages map[string][]byte) {
	t.Helper()
	var described descriptorpb.FileDescriptorProto
	if err := proto.Unmarshal(messages["described"], &described); err != nil {
		t.Fatal(err)
	}
	file, err := protodesc.NewFile(&described, nil)
	if err != nil {
		t.Fatal(err)
	}
	old := file.Messages().ByName("Envelope")
	for name, raw := range messages {
		if name == "described" {
			continue
		}
		want := dynamicpb.NewMessage(old)
		envelope := &mesh.Envelope{}
		if err := proto.Unmarshal(raw, want); err != nil {
			t.Fatal(name, err)
		}
		if err := proto.Unmarshal(raw, envelope); err != nil || envelope.Body == nil {
			t.Fatalf("%s: %v, body %v", name, err, envelope.Body)
		}
		back, err := proto.Marshal(envelope)
		if err != nil {
			t.Fatal(name, err)
		}
		decoded := dynamicpb.NewMessage(old)
		if err := proto.Unmarshal(back, decoded); err != nil || !proto.Equal(want, decoded) {
			t.Errorf("%s: the earlier version decodes %v, want %v (%v)", name, decoded, want, err)
		}
		decoded.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			if fd.Message() != nil && len(v.Message().GetUnknown()) > 0 {
				t.Errorf("%s: fields unknown to the earlier version: %s", name, fmt.Sprint(v))
			}
			return true
		})
	}
}
