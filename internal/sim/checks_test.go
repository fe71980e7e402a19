package sim

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

// expectViolation simulates tampered runs of the Small shape until the checks report a violation of
// a rule whose name starts with the given text. It fails if no seed leads to one.
func expectViolation(t *testing.T, rule string, recovery time.Duration, tamper func() Tamper) {
	t.Helper()
	expectViolationOnShape(t, Small, rule, recovery, tamper)
}

// expectViolationOnShape is expectViolation for a given shape.
func expectViolationOnShape(t *testing.T, shape Shape, rule string, recovery time.Duration, tamper func() Tamper) {
	t.Helper()
	expectViolationInRun(t, shape, rule, func(w *World, faultTime, _ time.Duration) { RunFaults(w, faultTime, recovery) }, tamper)
}

// expectViolationInRun is expectViolation for a given shape and kind of run.
func expectViolationInRun(t *testing.T, shape Shape, rule string, run func(w *World, faultTime, recovery time.Duration), tamper func() Tamper) {
	t.Helper()
	for seed := range uint64(200) {
		w := New(seed, shape)
		w.Tamper = tamper()
		run(w, faultPhase, recoveryPhase)
		for _, r := range w.Violations {
			if strings.HasPrefix(r, rule) {
				return
			}
		}
	}
	t.Errorf("no tampered run violated rule %s", rule)
}

// TestCheckerDetectsBrokenRules tampers with the messages around an unmodified core so that
// one safety rule is violated at a time.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	t.Run("exited tasks are forgotten before their end is recorded", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_", time.Second, func() Tamper {
			return Tamper{Answer: func(w *World, r *controller.ReportRequest, a *controller.Answer) {
				body, ok := a.Body.(wire.ReportAnswer)
				if !ok {
					return
				}
				for _, task := range r.Report.Tasks {
					if task.State == wire.TaskExited {
						body.Commands = append(body.Commands, wire.Command{Op: wire.OpForget, Task: task.ID, Attempt: task.Attempt})
					}
				}
				a.Body = body
			}}
		})
	})
	t.Run("task records are not stored", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{State: func(call *controller.StateCall) (controller.StateReply, bool) {
				if call.Op != controller.OpTxn || !onlyTasks(call.Txn) {
					return controller.StateReply{}, false
				}
				return controller.StateReply{Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 0}}, true
			}}
		})
	})
	t.Run("new leader does not wait for proof that earlier attempts have ended", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{StateReply: func(call *controller.StateCall, r *controller.StateReply) {
				if call.Op != controller.OpRange || call.Key != "t/" {
					return
				}
				for i, it := range r.Page.Items {
					var rec map[string]any
					if wire.Unmarshal(it.Value, &rec) == nil {
						delete(rec, "p")
						r.Page.Items[i].Value = wire.Marshal(rec)
					}
				}
			}}
		})
	})
}

// TestCheckerDetectsLivenessViolationsAndSingleFaults tampers with messages so that a rule on
// liveness is violated (forgotten, starved), or that a fault of a single machine or controller
// violates a safety rule: a late report, a machine that receives nothing, a controller without
// authority.
func TestCheckerDetectsLivenessViolationsAndSingleFaults(t *testing.T) {
	isTask := func(call *controller.StateCall, job string) bool {
		return call.Op == controller.OpTxn && onlyTasks(call.Txn) && strings.Contains(call.Txn.Then[0].Put, job)
	}
	t.Run("queries about one job are always rejected", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "forgotten", recoveryPhase, func() Tamper {
			first := ""
			return Tamper{User: func(r *controller.UserRequest, a *controller.Answer) {
				if r.Op == controller.UserPoll && first == "" && a.Status == http.StatusOK {
					first = r.Job
				}
				if r.Job == first && first != "" {
					*a = controller.Answer{Req: a.Req, Status: http.StatusServiceUnavailable}
				}
			}}
		})
	})
	t.Run("one job's tasks are never placed", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "starved", recoveryPhase, func() Tamper {
			first := ""
			return Tamper{State: func(call *controller.StateCall) (controller.StateReply, bool) {
				if first == "" && isTask(call, "") {
					first, _, _ = wire.SplitTaskID(strings.TrimPrefix(call.Txn.Then[0].Put, "t/"))
				}
				return controller.StateReply{Status: http.StatusServiceUnavailable}, first != "" && isTask(call, first)
			}}
		})
	})
	t.Run("a delayed copy of a report is accepted as the newest", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_", recoveryPhase, func() Tamper {
			return Tamper{Report: func(h *host, late bool, r *wire.Report) {
				if late {
					r.Session, r.Seq, r.Token, r.Tasks = h.session, h.seq+1, h.token, nil
				}
			}}
		})
	})
	t.Run("a machine that receives nothing reports that its tasks have ended", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_twice", recoveryPhase, func() Tamper {
			return Tamper{Report: func(h *host, _ bool, r *wire.Report) {
				if h.receivesNothing {
					r.Session, r.Tasks = r.Session+1, nil // as if its lease had run out
				}
			}}
		})
	})
	t.Run("a controller without authority answers reports", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "authority", recoveryPhase, func() Tamper {
			token := uint64(0)
			return Tamper{Output: func(n *member, o controller.Output) controller.Output {
				a, ok := o.(controller.Answer)
				if !ok {
					return o
				}
				if body, ok := a.Body.(wire.ReportAnswer); ok {
					token = max(token, body.Token)
				}
				if n.cutFromStateAndPeers && a.Status == http.StatusMisdirectedRequest && token > 0 {
					a.Status, a.Body = http.StatusOK, wire.ReportAnswer{Token: token - 1}
				}
				return a
			}}
		})
	})
}

// TestCheckerDetectsBrokenChains tampers with messages so that the rules on jobs that need others
// are violated: too_early and orphaned.
func TestCheckerDetectsBrokenChains(t *testing.T) {
	t.Run("job records lose the list of needed jobs", func(t *testing.T) {
		t.Parallel()
		expectViolationInRun(t, Chains, "too_early", runFaultPairsLongRecovery, func() Tamper {
			return Tamper{State: func(call *controller.StateCall) (controller.StateReply, bool) {
				for i, change := range call.Txn.Then {
					var rec map[string]any
					if strings.HasPrefix(change.Put, "c/j/") && wire.Unmarshal(change.Value, &rec) == nil {
						var job wire.Job
						if wire.Unmarshal(wire.Marshal(rec["j"]), &job) == nil && len(job.Needs) > 0 {
							job.Needs = nil
							rec["j"] = job
							call.Txn.Then[i].Value = wire.Marshal(rec)
						}
					}
				}
				return controller.StateReply{}, false
			}}
		})
	})
	t.Run("jobs that need a cancelled job are still reported queued", func(t *testing.T) {
		t.Parallel()
		expectViolationInRun(t, Chains, "orphaned", runFaultPairsLongRecovery, func() Tamper {
			asked := map[string]bool{}
			return Tamper{User: func(r *controller.UserRequest, a *controller.Answer) {
				s, ok := a.Body.(wire.JobState)
				if r.Op == controller.UserCancel {
					asked[r.Job] = true
				}
				if ok && s.State == wire.StateCancelled && !asked[r.Job] && r.Op == controller.UserPoll {
					s.State = wire.StateQueued
					a.Body = s
				}
			}}
		})
	})
}

// TestCheckerDetectsFleetFaults tampers with a paused controller's clock, with releases of machines
// that the cloud confirms without carrying them out, and with reports of partitioned machines, each
// of which violates a safety rule.
func TestCheckerDetectsFleetFaults(t *testing.T) {
	t.Run("the clock of a paused controller stops", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "authority", time.Second, func() Tamper {
			behind, since := map[*member]time.Duration{}, map[*member]time.Time{}
			return Tamper{Clock: func(n *member, now time.Time) time.Time {
				switch at, wasPaused := since[n]; {
				case n.paused && !wasPaused:
					since[n] = now
				case !n.paused && wasPaused:
					behind[n] += now.Sub(at)
					delete(since, n)
				}
				return now.Add(-behind[n])
			}}
		})
	})
	t.Run("the cloud confirms a release that it did not carry out", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{Cloud: func(call *controller.CloudCall) (controller.CloudReply, bool) {
				return controller.CloudReply{Status: http.StatusOK}, call.Op == controller.CloudRelease
			}}
		})
	})
	t.Run("tasks of partitioned machines are reported ended", func(t *testing.T) {
		t.Parallel()
		expectViolation(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{Report: func(h *host, late bool, r *wire.Report) {
				if late && h.partitioned {
					r.Session, r.Seq, r.Tasks = h.session+1, h.seq+1, nil
				}
			}}
		})
	})
}

// TestCheckerDetectsGPULimits starts the controllers with twice the teams' limits on
// GPUs or on cores.
func TestCheckerDetectsGPULimits(t *testing.T) {
	for name, doubleLimit := range map[string]func(t *config.Team){
		"GPUs":  func(t *config.Team) { t.GPUsMax *= 2 },
		"cores": func(t *config.Team) { t.CPUsMax *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectViolationOnShape(t, GPUs, "quota", time.Second, func() Tamper {
				return Tamper{Settings: func(p *config.Platform) {
					p.Facts.Teams = slices.Clone(p.Facts.Teams)
					for i := range p.Facts.Teams {
						doubleLimit(&p.Facts.Teams[i])
					}
				}}
			})
		})
	}
}

// onlyTasks reports whether a transaction writes task records and nothing else.
func onlyTasks(t wire.Txn) bool {
	for _, c := range t.Then {
		if !strings.HasPrefix(c.Put, "t/") {
			return false
		}
	}
	return len(t.Then) > 0
}
