package sim

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

// store simulates the state service: a key-value store with leases, watches and
// compare-and-swap transactions.
type store struct {
	w        *World
	revision uint64
	items    map[string]wire.Item
	history  []wire.Event
	leases   map[uint64]*lease
	nextID   uint64
	outage   bool
	limits   config.Limits
	writes   *rate.Limiter
	tooLarge int // number of transactions refused for their size
	watches  []*watch
}

type lease struct {
	duration  time.Duration
	expiresAt time.Duration
}

type watch struct {
	prefix string
	after  uint64
	n      *member
	reply  func(controller.StateReply)
	done   bool
}

func newStore(w *World) *store {
	s := &store{w: w, items: map[string]wire.Item{}, leases: map[uint64]*lease{}, limits: w.cfg.Facts.State.Limits, writes: rate.NewLimiter(rate.Inf, 0)}
	s.expireLeases()
	return s
}

// expireLeases ends the leases that have run out, and schedules its next call. No lease ends
// during an outage, and each has its full duration again afterwards.
func (s *store) expireLeases() {
	if !s.outage {
		for id, l := range s.leases {
			if l.expiresAt <= s.w.now {
				s.endLease(id)
			}
		}
	}
	s.w.after(20*time.Millisecond, s.expireLeases)
}

// lowerLimits puts the announced future limits of the state service into force.
func (s *store) lowerLimits() {
	s.limits = s.w.cfg.Facts.State.UpcomingLimits()
	s.writes = rate.NewLimiter(rate.Limit(s.limits.WriteRPS), int(s.limits.WriteRPS))
}

// endLease ends a lease and deletes the items attached to it.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var deletions []wire.Change
	for k, it := range s.items {
		if it.Lease == id {
			deletions = append(deletions, wire.Change{Delete: k})
		}
	}
	if len(deletions) > 0 {
		s.apply(deletions)
	}
}

// setOutage starts or ends an outage. At its end, each lease has its full duration again.
func (s *store) setOutage(on bool) {
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expiresAt = s.w.now + l.duration
		}
		s.notify()
	}
}

// handle executes a call that has arrived at the service.
func (s *store) handle(n *member, call controller.StateCall, reply func(controller.StateReply)) {
	if s.outage || n.stateRefused {
		reply(controller.StateReply{Status: http.StatusServiceUnavailable})
		return
	}
	switch call.Op {
	case controller.OpGet:
		if it, ok := s.items[call.Key]; ok {
			reply(controller.StateReply{Status: http.StatusOK, Item: it})
		} else {
			reply(controller.StateReply{Status: http.StatusNotFound})
		}
	case controller.OpRange:
		reply(controller.StateReply{Status: http.StatusOK, Page: s.page(call.Key, call.After)})
	case controller.OpTxn:
		reply(s.txn(call.Txn))
	case controller.OpGrant:
		s.nextID++
		s.leases[s.nextID] = &lease{call.TTL, s.w.now + call.TTL}
		reply(controller.StateReply{Status: http.StatusOK, Grant: wire.LeaseAnswer{Lease: s.nextID}})
	case controller.OpRenew:
		l := s.leases[call.Lease]
		if l == nil {
			reply(controller.StateReply{Status: http.StatusNotFound})
			return
		}
		l.expiresAt = s.w.now + l.duration
		reply(controller.StateReply{Status: http.StatusOK})
	case controller.OpRevoke:
		s.endLease(call.Lease)
		reply(controller.StateReply{Status: http.StatusOK})
	case controller.OpWatch:
		s.watch(n, call, reply)
	}
}

// page returns the first items with the prefix and a key beyond after. Pages are small, so
// that a range read needs several.
func (s *store) page(prefix, after string) wire.Page {
	const pageSize = 20
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.Page{Revision: s.revision, More: len(keys) > pageSize}
	for _, k := range keys[:min(len(keys), pageSize)] {
		p.Items = append(p.Items, s.items[k])
	}
	return p
}

// txn executes a transaction: if all compared versions match, its changes are applied.
// It is refused if it exceeds a limit of the service or names an unknown lease.
func (s *store) txn(t wire.Txn) controller.StateReply {
	if !s.writes.AllowN(s.w.start.Add(s.w.now), len(t.Then)) {
		return controller.StateReply{Status: http.StatusTooManyRequests}
	}
	var failed []string
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return controller.StateReply{Status: http.StatusConflict, Txn: wire.TxnAnswer{Revision: s.revision, Failed: failed}}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return controller.StateReply{Status: http.StatusBadRequest, Txn: wire.TxnAnswer{Error: "no such lease"}}
		}
		if wire.Size(c.Value) > int(s.limits.ValueKB*1024) {
			s.tooLarge++
			return controller.StateReply{Status: http.StatusBadRequest, Txn: wire.TxnAnswer{Error: "value too large"}}
		}
	}
	if len(t.Then) > s.limits.TxnOps || len(t.If) > 4*s.limits.TxnOps {
		s.tooLarge++
		return controller.StateReply{Status: http.StatusBadRequest, Txn: wire.TxnAnswer{Error: "too many changes"}}
	}
	s.apply(t.Then)
	return controller.StateReply{Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: s.revision}}
}

func (s *store) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.Delete != "" {
			if _, ok := s.items[c.Delete]; ok {
				delete(s.items, c.Delete)
				s.history = append(s.history, wire.Event{Delete: c.Delete, Version: s.revision})
			}
			continue
		}
		s.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.history = append(s.history, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	s.notify()
}

// changes returns the events with the prefix after a revision.
func (s *store) changes(prefix string, after uint64) []wire.Event {
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	var out []wire.Event
	for _, e := range s.history[from:] {
		if strings.HasPrefix(e.Put+e.Delete, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// watch answers with the events after a revision. If there are none, it waits for some until
// the wait time of the call has passed.
func (s *store) watch(n *member, call controller.StateCall, reply func(controller.StateReply)) {
	x := &watch{prefix: call.Key, after: call.Revision, n: n, reply: reply}
	if call.Wait == 0 || !s.answer(x, false) {
		if call.Wait == 0 {
			s.answer(x, true)
			return
		}
		s.watches = append(s.watches, x)
		s.w.after(call.Wait, func() { s.answer(x, true) })
	}
}

// answer completes a watch if there are new events, or if force is set, as it is when the watch
// times out. While the service can't be reached the watch stays open even with force. It reports
// whether the watch is complete.
func (s *store) answer(x *watch, force bool) bool {
	if x.done {
		return true
	}
	if s.outage || x.n.stateRefused || x.n.cutFromStateAndPeers {
		return false // the watch stays open until the service is reachable again
	}
	events := s.changes(x.prefix, x.after)
	if len(events) == 0 && !force {
		return false
	}
	x.done = true
	x.reply(controller.StateReply{Status: http.StatusOK, Watch: wire.WatchAnswer{Revision: s.revision, Events: events}})
	return true
}

// notify completes the open watches for which there are events.
func (s *store) notify() {
	open := s.watches[:0]
	for _, x := range s.watches {
		if !s.answer(x, false) {
			open = append(open, x)
		}
	}
	s.watches = open
}
