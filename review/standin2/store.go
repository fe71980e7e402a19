//go:build review

package main

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"pumicefront/wire"
)

// keptChanges is how many changes the state service keeps for watches.
const keptChanges = 10_000

// store is the state service.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]wire.Item
	events   []wire.Event
	dropped  uint64 // revision of the last change that is not kept any more
	leases   map[uint64]*storeLease
	nextID   uint64
	changed  chan struct{} // closed and replaced at every change
}

type storeLease struct {
	life time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{items: map[string]wire.Item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var drops []wire.Change
	for key, it := range s.items {
		if it.Lease == id {
			drops = append(drops, wire.Change{Delete: key})
		}
	}
	if len(drops) > 0 {
		s.apply(drops)
	}
}

func (s *store) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.Delete != "" {
			if _, found := s.items[c.Delete]; found {
				delete(s.items, c.Delete)
				s.events = append(s.events, wire.Event{Delete: c.Delete, Version: s.revision})
			}
			continue
		}
		s.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.events = append(s.events, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	if n := len(s.events) - keptChanges; n > 0 {
		s.dropped = s.events[n-1].Version
		s.events = append([]wire.Event(nil), s.events[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles a request of a controller.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, query := r.URL.Path, r.URL.Query()
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(query.Get(name), 10, 64)
		return n
	}
	leaseID := func() uint64 {
		text, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
		id, _ := strconv.ParseUint(text, 10, 64)
		return id
	}
	if path == wire.PathWatch {
		s.serveWatch(w, r, query.Get("prefix"), number("after"), time.Duration(number("wait_ms"))*time.Millisecond)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == wire.PathTxn:
		s.serveTxn(w, decodeBody[wire.Txn](r))
	case path == wire.PathLeases:
		s.nextID++
		life := time.Duration(decodeBody[wire.LeaseRequest](r).TTLMS) * time.Millisecond
		s.leases[s.nextID] = &storeLease{life, time.Now().Add(life)}
		answer(w, http.StatusOK, wire.LeaseAnswer{Lease: s.nextID})
	case r.Method == http.MethodDelete:
		s.endLease(leaseID())
		answer(w, http.StatusOK, struct{}{})
	case strings.HasPrefix(path, wire.PathLeases+"/"):
		l := s.leases[leaseID()]
		if l == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		l.ends = time.Now().Add(l.life)
		answer(w, http.StatusOK, struct{}{})
	case path == wire.PathKV:
		answer(w, http.StatusOK, s.page(query.Get("prefix"), query.Get("after"), int(number("limit"))))
	default:
		it, found := s.items[strings.TrimPrefix(path, wire.PathKV+"/")]
		if !found {
			answer(w, http.StatusNotFound, map[string]uint64{"ledger": s.revision})
			return
		}
		answer(w, http.StatusOK, it)
	}
}

func (s *store) page(prefix, after string, limit int) wire.Page {
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	p := wire.Page{Revision: s.revision, More: len(keys) > limit}
	for _, key := range keys[:min(len(keys), limit)] {
		p.Items = append(p.Items, s.items[key])
	}
	return p
}

func (s *store) serveTxn(w http.ResponseWriter, t wire.Txn) {
	var failed []string
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		answer(w, http.StatusConflict, wire.TxnAnswer{Revision: s.revision, Failed: failed})
		return
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			answer(w, http.StatusBadRequest, wire.TxnAnswer{Error: "no such lease"})
			return
		}
	}
	if len(t.Then) > 0 {
		s.apply(t.Then)
	}
	answer(w, http.StatusOK, wire.TxnAnswer{Revision: s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(min(wait, time.Minute))
	for {
		s.mu.Lock()
		changed := s.changed
		if after < s.dropped {
			s.mu.Unlock()
			answer(w, http.StatusGone, struct{}{})
			return
		}
		a := wire.WatchAnswer{Revision: s.revision}
		for _, e := range s.events[sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after }):] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				a.Events = append(a.Events, e)
			}
		}
		s.mu.Unlock()
		if len(a.Events) > 0 || wait == 0 {
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a response in CBOR.
func answer(w http.ResponseWriter, status int, body any) {
	raw := wire.Marshal(body)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a caller that is gone needs no answer
}

// decodeBody decodes the body of a request; a malformed one counts as empty.
func decodeBody[T any](r *http.Request) T {
	var v T
	if raw, err := io.ReadAll(io.LimitReader(r.Body, 1<<20)); err == nil {
		_ = wire.Unmarshal(raw, &v)
	}
	return v
}
