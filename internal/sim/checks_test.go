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

// caught plays tampered runs until one breaks the rule.
func caught(t *testing.T, rule string, after time.Duration, tamper func() Tamper) {
	t.Helper()
	caughtOn(t, Small, rule, after, tamper)
}

func caughtOn(t *testing.T, shape Shape, rule string, after time.Duration, tamper func() Tamper) {
	t.Helper()
	caughtBy(t, shape, rule, func(w *World, faults, _ time.Duration) { RunFaults(w, faults, after) }, tamper)
}

func caughtBy(t *testing.T, shape Shape, rule string, run func(w *World, faultTime, recovery time.Duration), tamper func() Tamper) {
	t.Helper()
	for seed := range uint64(200) {
		w := New(seed, shape)
		w.Tamper = tamper()
		run(w, faultPhase, recoveryPhase)
		for _, r := range w.Rules {
			if strings.HasPrefix(r, rule) {
				return
			}
		}
	}
	t.Errorf("no run broke %s", rule)
}

// TestCheckerDetectsBrokenRules breaks one safety rule at a time around an intact core.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	t.Run("forgets at once", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_", time.Second, func() Tamper {
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
	t.Run("runs without a record", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{State: func(call *controller.StateCall) (controller.StateReply, bool) {
				if call.Op != controller.OpTxn || !onlyTasks(call.Txn) {
					return controller.StateReply{}, false
				}
				return controller.StateReply{Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 0}}, true
			}}
		})
	})
	t.Run("new leader does not wait for proof", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", time.Second, func() Tamper {
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

// TestCheckerDetectsAdditions breaks what the users have added.
func TestCheckerDetectsAdditions(t *testing.T) {
	isTask := func(call *controller.StateCall, job string) bool {
		return call.Op == controller.OpTxn && onlyTasks(call.Txn) && strings.Contains(call.Txn.Then[0].Put, job)
	}
	t.Run("one job's questions always find no room", func(t *testing.T) {
		t.Parallel()
		caught(t, "forgotten", recoveryPhase, func() Tamper {
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
		caught(t, "starved", recoveryPhase, func() Tamper {
			first := ""
			return Tamper{State: func(call *controller.StateCall) (controller.StateReply, bool) {
				if first == "" && isTask(call, "") {
					first, _, _ = wire.SplitTask(strings.TrimPrefix(call.Txn.Then[0].Put, "t/"))
				}
				return controller.StateReply{Status: http.StatusServiceUnavailable}, first != "" && isTask(call, first)
			}}
		})
	})
	t.Run("a late copy passes for the newest report", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_", recoveryPhase, func() Tamper {
			return Tamper{Report: func(h *host, late bool, r *wire.Report) {
				if late {
					r.Session, r.Seq, r.Token, r.Tasks = h.session, h.seq+1, h.token, nil
				}
			}}
		})
	})
	t.Run("what a machine that hears nothing reports is taken for its end", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", recoveryPhase, func() Tamper {
			return Tamper{Report: func(h *host, _ bool, r *wire.Report) {
				if h.receivesNothing {
					r.Session, r.Tasks = r.Session+1, nil // as if its lease had run out
				}
			}}
		})
	})
	t.Run("a controller without authority answers reports", func(t *testing.T) {
		t.Parallel()
		caught(t, "authority", recoveryPhase, func() Tamper {
			token := uint64(0)
			return Tamper{Output: func(n *node, o controller.Output) controller.Output {
				a, ok := o.(controller.Answer)
				if !ok {
					return o
				}
				if body, ok := a.Body.(wire.ReportAnswer); ok {
					token = max(token, body.Token)
				}
				if n.isolated && a.Status == http.StatusMisdirectedRequest && token > 0 {
					a.Status, a.Body = http.StatusOK, wire.ReportAnswer{Token: token - 1}
				}
				return a
			}}
		})
	})
}

// TestCheckerDetectsBrokenChains breaks what chains add.
func TestCheckerDetectsBrokenChains(t *testing.T) {
	t.Run("a leader that does not see what a job needs", func(t *testing.T) {
		t.Parallel()
		caughtBy(t, Chains, "too_early", runOverload, func() Tamper {
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
	t.Run("what a cancelled job's followers are is told by their own headers alone", func(t *testing.T) {
		t.Parallel()
		caughtBy(t, Chains, "orphaned", runOverload, func() Tamper {
			asked := map[string]bool{}
			return Tamper{User: func(r *controller.UserRequest, a *controller.Answer) {
				s, ok := a.Body.(wire.JobState)
				if r.Op == controller.UserAbort {
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

// TestCheckerDetectsFleetFaults breaks what many machines and controllers that stand
// still put at stake.
func TestCheckerDetectsFleetFaults(t *testing.T) {
	t.Run("a controller's clock stands still with it", func(t *testing.T) {
		t.Parallel()
		caught(t, "authority", time.Second, func() Tamper {
			behind, since := map[*node]time.Duration{}, map[*node]time.Time{}
			return Tamper{Clock: func(n *node, now time.Time) time.Time {
				switch at, still := since[n]; {
				case n.paused && !still:
					since[n] = now
				case !n.paused && still:
					behind[n] += now.Sub(at)
					delete(since, n)
				}
				return now.Add(-behind[n])
			}}
		})
	})
	t.Run("a release counts that did not take place", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{Cloud: func(call *controller.CloudCall) (controller.CloudReply, bool) {
				return controller.CloudReply{Status: http.StatusOK}, call.Op == controller.CloudRelease
			}}
		})
	})
	t.Run("what many machines that are cut run is taken for lost", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", time.Second, func() Tamper {
			return Tamper{Report: func(h *host, late bool, r *wire.Report) {
				if late && h.cut {
					r.Session, r.Seq, r.Tasks = h.session+1, h.seq+1, nil
				}
			}}
		})
	})
}

// TestCheckerDetectsGPULimits gives the controllers other limits than the teams have.
func TestCheckerDetectsGPULimits(t *testing.T) {
	for name, twice := range map[string]func(t *config.Team){
		"GPUs":  func(t *config.Team) { t.GPUsMax *= 2 },
		"cores": func(t *config.Team) { t.CPUsMax *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caughtOn(t, GPUs, "quota", time.Second, func() Tamper {
				return Tamper{Settings: func(p *config.Platform) {
					p.Facts.Teams = slices.Clone(p.Facts.Teams)
					for i := range p.Facts.Teams {
						twice(&p.Facts.Teams[i])
					}
				}}
			})
		})
	}
}

func onlyTasks(t wire.Txn) bool {
	for _, c := range t.Then {
		if !strings.HasPrefix(c.Put, "t/") {
			return false
		}
	}
	return len(t.Then) > 0
}
