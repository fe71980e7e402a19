package controller

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// newLeadingCore returns the core of a leader that has read the records of earlier leaders, of which there are none, and
// has one job of two tasks.
func newLeadingCore(t testing.TB) (*Core, *leader, *job) {
	t.Helper()
	var cfg config.Platform
	cfg.Member = "n0"
	cfg.Others = []config.Peer{{Member: "n1"}, {Member: "n2"}}
	f := &cfg.Facts
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 2, 10, 24
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 150, 60, 8, 16
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 5
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := New(&cfg, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), now)
	c.recordRead(now) // a controller reads the headers before it claims the leadership
	c.becomeLeader(now, 1, 7, 1)
	l := c.lead
	l.rebuild(nil, nil)
	spec := wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 1}
	return c, l, l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 10})
}

// placeAttempt adds an active attempt as a placement round does, with its record written.
func placeAttempt(l *leader, j *job, task int, m *machine) *attempt {
	j.chunks[0].lastAttempt++
	a := &attempt{job: j, task: task, number: j.chunks[0].lastAttempt, machine: m, session: m.session, phase: attemptRecorded}
	j.attempts[task] = a
	m.add(a)
	j.state.Start(task)
	return a
}

// newReport returns the next report of a machine with the given tasks.
func newReport(m *machine, token uint64, tasks ...wire.Task) *wire.Report {
	return &wire.Report{Machine: m.id, Session: m.session, Seq: m.seq + 1, Token: token, Tasks: tasks}
}

// newDependentJobs returns a leader with two jobs, of which the second needs the first.
func newDependentJobs(t *testing.T) (c *Core, l *leader, first, second *job) {
	t.Helper()
	c, l, _ = newLeadingCore(t)
	due := 100.0
	specs := []wire.Job{
		{ID: "req-000010", Kind: wire.KindArray, Class: "a", Priority: "best_effort", Tasks: 1, CPUs: 1, EstimateS: 10},
		{ID: "req-000011", Kind: wire.KindArray, Class: "b", Priority: "high", Tasks: 1, CPUs: 1, EstimateS: 20, DeadlineS: &due, Needs: []string{"req-000010"}},
	}
	for i, spec := range specs {
		spec := spec
		c.watchCache.versions[headerKey(spec.ID)] = uint64(i + 1)
		c.headerChanged(spec.ID, &headerRecord{Job: spec, AcceptedMS: c.now.UnixMilli(), TasksPerChunk: 10})
	}
	return c, l, l.jobs["req-000010"], l.jobs["req-000011"]
}

// acceptSubmissions prepares a core to accept submissions of team red.
func acceptSubmissions(c *Core) {
	setMemberVersions(c, thisVersion)
	c.setTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 8})
	c.watchCache.loaded = true
}

// stateServiceStub is a stub of the state service that contains some final records. Its watches return no
// events.
type stateServiceStub struct {
	finals map[string]finalRecord
	reads  int // of final records
}

// serve executes the core's calls until the core answers a user or sends a transaction.
func (s *stateServiceStub) serve(c *Core) (answer *Answer, txn *StateCall) {
	for len(c.out) > 0 {
		outputs := c.out
		c.out = nil
		for _, o := range outputs {
			switch o := o.(type) {
			case Answer:
				return &o, nil
			case StateCall:
				if o.Op == OpTxn {
					return nil, &o
				}
				resume(c.stateCalls, o.ID, s.reply(c, o))
			}
		}
	}
	return nil, nil
}

func (s *stateServiceStub) reply(c *Core, call StateCall) StateReply {
	if call.Op == OpGet {
		s.reads++
	}
	f, hasFinal := s.finals[strings.TrimPrefix(call.Key, finalPrefix)]
	switch {
	case call.Op == OpWatch:
		return StateReply{Status: http.StatusOK, Watch: wire.WatchAnswer{Revision: c.watchCache.revision}}
	case call.Op == OpGet && hasFinal:
		return StateReply{Status: http.StatusOK, Item: wire.Item{Key: call.Key, Value: wire.Marshal(f), Version: 1}}
	}
	return StateReply{Status: http.StatusNotFound}
}

// submitWithNeeds submits a job that needs the given jobs.
func submitWithNeeds(c *Core, finals map[string]finalRecord, needs []string) (answer *Answer, txn *StateCall) {
	spec := wire.Job{ID: "req-000099", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1, Image: "i", Needs: needs}
	c.out = nil
	c.submit(UserRequest{Req: 5, Op: UserSubmit, Body: wire.Marshal(spec)})
	return (&stateServiceStub{finals: finals}).serve(c)
}

func jobBody(id string) []byte { return wire.Marshal(wire.Job{ID: id}) }
