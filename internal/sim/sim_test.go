package sim

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

const (
	troubled = 150 * time.Second
	calm     = 150 * time.Second
)

// TestDays plays days from fixed seeds. PUMICEFRONT_SEED=N replays one with its
// log; PUMICEFRONT_DAYS=N plays more.
func TestDays(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_SEED"); one != "" {
		replay(t, one, func(uint64) Shape { return Small }, Day)
		return
	}
	playDays(t, "PUMICEFRONT_DAYS", 40, Small)
}

// TestGrownDays plays days of five controllers, hundreds of machines and large
// arrays. PUMICEFRONT_GROWN=N plays more.
func TestGrownDays(t *testing.T) { playDays(t, "PUMICEFRONT_GROWN", 3, Grown) }

// TestFleetDays plays days of the fleets' shape. PUMICEFRONT_FLEET=N plays more.
func TestFleetDays(t *testing.T) { playDays(t, "PUMICEFRONT_FLEET", 1, Fleet) }

// TestHallDays plays days on which GPUs are shared, by teams with GPUs alone, cores
// alone and both. PUMICEFRONT_HALL=N plays more.
func TestHallDays(t *testing.T) { playDays(t, "PUMICEFRONT_HALL", 12, Hall) }

// TestHallsDays plays the same with more machines than any deployment has.
// PUMICEFRONT_HALLS=N plays more.
func TestHallsDays(t *testing.T) { playDays(t, "PUMICEFRONT_HALLS", 1, Halls) }

// TestMeetingDays plays days on which troubles meet. PUMICEFRONT_MEETINGS=N plays more,
// PUMICEFRONT_MEETING=N replays one with its log.
func TestMeetingDays(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_MEETING"); one != "" {
		replay(t, one, meetingShape, overload)
		return
	}
	meetingDays(t, daysOf("PUMICEFRONT_MEETINGS", 48), meetingShape, meetings)
}

// meetingDays plays days, and checks that each of the meetings has come about on some.
func meetingDays(t *testing.T, days int, shapeOf func(seed uint64) Shape, meetings []string) {
	t.Helper()
	var mu sync.Mutex
	met := map[string]int{}
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := New(seed, shapeOf(seed))
				overload(w, troubled, calmOf(w))
				report(t, seed, w)
				if w.store.tooLarge > 0 {
					t.Errorf("seed %d: %d transactions are refused for their size", seed, w.store.tooLarge)
				}
				mu.Lock()
				defer mu.Unlock()
				for what := range w.met {
					met[what]++
				}
			})
		}
	})
	for _, what := range meetings {
		t.Logf("%4d of %d days: %s", met[what], days, what)
		if met[what] == 0 {
			t.Errorf("on none of the days: %s", what)
		}
	}
}

// meetings must each come about on some of the days; docs/meetings.md lists them.
var meetings = []string{
	"leases renewed in an outage after a cancellation was told",
	"by a leader that had been refused alone",
	"all controllers away for longer than a lease",
	"leaders change twice within four seconds",
	"a leader ends in an outage",
	"asked at all nodes after a final answer",
	"the same with a team at its limit and its job called off",
	"one-task job of a burst called off",
	"a transaction carried out, its answer lost",
	"a held command, or one with its answer held, is carried out",
	"a job bound to a zone loses a machine",
	"a cancellation told as leaders change",
	"a leader ends and is back within a second",
	"a cancellation told while the state service is slow",
	"a cancellation told while a machine of the job hangs",
	"a report from an earlier session arrives",
	"an old report arrives as a new leader begins",
	"a leader ends while writes lag and machines just up have work",
	"leaders change while tasks are on machines that can't be reached",
	"much more work than room over slow links",
	"called off at the end of its last task",
	"a late transaction refused for newer ones",
	"a late transaction carried out",
	"a cancellation told by others while the leader has its workers alone",
	"tasks of a small job end on both sides of a change of leaders",
	"a zone with a controller cut off",
	"a direct command reaches a machine that reaches nobody",
}

// overload is a MeetingDay with time for all that was asked for beyond what can be done.
func overload(w *World, troubles, calm time.Duration) { MeetingDay(w, troubles, calm+90*time.Second) }

// meetingShape gives every fourth day five controllers, and GPUs to another fourth.
func meetingShape(seed uint64) Shape {
	switch five := Small; seed % 4 {
	case 2:
		return Hall
	case 3:
		five.Controllers = 5
		return five
	}
	return Small
}

// TestChainDays plays the same with pipelines, on which the state service lowers its
// limits. PUMICEFRONT_CHAINS=N plays more, PUMICEFRONT_CHAIN=N replays one.
func TestChainDays(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_CHAIN"); one != "" {
		replay(t, one, func(uint64) Shape { return Chain }, overload)
		return
	}
	meetingDays(t, daysOf("PUMICEFRONT_CHAINS", 24), func(uint64) Shape { return Chain }, []string{
		"a job called off with one that it needs",
		"a job accepted that needs a cancelled one",
		"a job accepted that needs a finished one",
		"a job accepted with a long list of needed jobs",
		"a cancellation answered with done, and jobs that need the job go on",
		"the state service lowers its limits",
	})
}

// playDays plays as many days as the variable says.
func playDays(t *testing.T, variable string, days int, shape Shape) {
	days = daysOf(variable, days)
	for seed := range uint64(days) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, shape)
			Day(w, troubled, calmOf(w))
			report(t, seed, w)
		})
	}
}

// daysOf is how many days to play: as the variable says, else as many as CI does.
func daysOf(variable string, days int) int {
	if s := os.Getenv(variable); s != "" {
		days, _ = strconv.Atoi(s)
	}
	return days
}

// replay plays one seed with its log.
func replay(t *testing.T, one string, shapeOf func(seed uint64) Shape, day func(w *World, troubles, calm time.Duration)) {
	t.Helper()
	seed, err := strconv.ParseUint(one, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	w := New(seed, shapeOf(seed))
	w.Log = func(f string, args ...any) { fmt.Printf(f+"\n", args...) }
	day(w, troubled, calmOf(w))
	report(t, seed, w)
}

// calmOf is how long a day goes on after its troubles. Where leases are long, what is
// lost at the last is waited for that long.
func calmOf(w *World) time.Duration {
	if w.shape.GPUs {
		return calm + 2*config.Seconds(w.cfg.Facts.Workers.LeaseS)
	}
	return calm
}

func report(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, r := range w.Rules {
		t.Errorf("seed %d: %s", seed, r)
	}
}

// TestSameSeedSameDay guards the replay of a failing seed.
func TestSameSeedSameDay(t *testing.T) {
	play := func() string {
		var log strings.Builder
		w := New(3, Small)
		w.Log = func(f string, args ...any) { fmt.Fprintf(&log, f+"\n", args...) }
		Day(w, 80*time.Second, 10*time.Second)
		return log.String()
	}
	if a, b := play(), play(); a != b {
		t.Fatal("two plays of one seed differ")
	}
}

// caught plays tampered days until one breaks the rule.
func caught(t *testing.T, rule string, after time.Duration, tamper func() Tamper) {
	t.Helper()
	caughtOn(t, Small, rule, after, tamper)
}

func caughtOn(t *testing.T, shape Shape, rule string, after time.Duration, tamper func() Tamper) {
	t.Helper()
	caughtBy(t, shape, rule, func(w *World, troubles, _ time.Duration) { Day(w, troubles, after) }, tamper)
}

func caughtBy(t *testing.T, shape Shape, rule string, day func(w *World, troubles, calm time.Duration), tamper func() Tamper) {
	t.Helper()
	for seed := range uint64(200) {
		w := New(seed, shape)
		w.Tamper = tamper()
		day(w, troubled, calm)
		for _, r := range w.Rules {
			if strings.HasPrefix(r, rule) {
				return
			}
		}
	}
	t.Errorf("no day broke %s", rule)
}

// TestCheckerBites breaks one safety rule at a time around an intact core.
func TestCheckerBites(t *testing.T) {
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

// TestCheckerBitesOnTheAdditions breaks what the users have added.
func TestCheckerBitesOnTheAdditions(t *testing.T) {
	isTask := func(call *controller.StateCall, job string) bool {
		return call.Op == controller.OpTxn && onlyTasks(call.Txn) && strings.Contains(call.Txn.Then[0].Put, job)
	}
	t.Run("one job's questions always find no room", func(t *testing.T) {
		t.Parallel()
		caught(t, "forgotten", calm, func() Tamper {
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
		caught(t, "starved", calm, func() Tamper {
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
		caught(t, "ran_", calm, func() Tamper {
			return Tamper{Report: func(h *host, late bool, r *wire.Report) {
				if late {
					r.Session, r.Seq, r.Token, r.Tasks = h.session, h.seq+1, h.token, nil
				}
			}}
		})
	})
	t.Run("what a machine that hears nothing reports is taken for its end", func(t *testing.T) {
		t.Parallel()
		caught(t, "ran_twice", calm, func() Tamper {
			return Tamper{Report: func(h *host, _ bool, r *wire.Report) {
				if h.muted {
					r.Session, r.Tasks = r.Session+1, nil // as if its lease had run out
				}
			}}
		})
	})
	t.Run("a controller without authority answers reports", func(t *testing.T) {
		t.Parallel()
		caught(t, "authority", calm, func() Tamper {
			token := uint64(0)
			return Tamper{Output: func(n *node, o controller.Output) controller.Output {
				a, ok := o.(controller.Answer)
				if !ok {
					return o
				}
				if body, ok := a.Body.(wire.ReportAnswer); ok {
					token = max(token, body.Token)
				}
				if n.cutOff && a.Status == http.StatusMisdirectedRequest && token > 0 {
					a.Status, a.Body = http.StatusOK, wire.ReportAnswer{Token: token - 1}
				}
				return a
			}}
		})
	})
}

// TestCheckerBitesOnChains breaks what chains add.
func TestCheckerBitesOnChains(t *testing.T) {
	t.Run("a leader that does not see what a job needs", func(t *testing.T) {
		t.Parallel()
		caughtBy(t, Chain, "too_early", overload, func() Tamper {
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
		caughtBy(t, Chain, "orphaned", overload, func() Tamper {
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

// TestCheckerBitesOnTheFleet breaks what many machines and controllers that stand
// still put at stake.
func TestCheckerBitesOnTheFleet(t *testing.T) {
	t.Run("a controller's clock stands still with it", func(t *testing.T) {
		t.Parallel()
		caught(t, "authority", time.Second, func() Tamper {
			behind, since := map[*node]time.Duration{}, map[*node]time.Time{}
			return Tamper{Clock: func(n *node, now time.Time) time.Time {
				switch at, still := since[n]; {
				case n.frozen && !still:
					since[n] = now
				case !n.frozen && still:
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

// TestCheckerBitesOnGPUs gives the controllers other limits than the teams have.
func TestCheckerBitesOnGPUs(t *testing.T) {
	for name, twice := range map[string]func(t *config.Team){
		"GPUs":  func(t *config.Team) { t.GPUsMax *= 2 },
		"cores": func(t *config.Team) { t.CPUsMax *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caughtOn(t, Hall, "quota", time.Second, func() Tamper {
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
