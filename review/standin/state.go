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

	"golang.org/x/time/rate"

	"pumicefront/wire"
)

// stateLimits are the limits of the state service as the platform's settings state them.
type stateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// keptChanges is how many changes the state service keeps for watches (PROTOCOL, GET /follow).
const keptChanges = 10000

// stateService is a stand-in for the state service: a consistent key-value store with leases, watches and
// compare-and-swap transactions, with the limits of the protocol's page.
type stateService struct {
	mu        sync.Mutex
	limits    stateLimits
	requests  *rate.Limiter
	writes    *rate.Limiter
	revision  uint64
	items     map[string]wire.Item
	history   []wire.Event
	discarded uint64 // revision of the newest change that is no longer kept
	changes   int    // puts and deletes since the start
	leases    map[uint64]*stateLease
	nextLease uint64
	changed   chan struct{} // closed and replaced at each change

	refused   map[string]bool                       // nodes whose requests get 503
	delay     func(node, kind string) time.Duration // additional delay of an answer, after the request was carried out
	hold      func(path string, body []byte)        // called before a request is carried out; it may wait
	counts    map[string]int                        // requests by node and kind
	gone      map[string]int                        // answers 410 by node
	limited   int                                   // answers 429
	conflicts map[string]int                        // transactions with failed conditions, by node
}

type stateLease struct {
	life time.Duration
	ends time.Time
}

func newStateService(limits stateLimits) *stateService {
	s := &stateService{limits: limits, items: map[string]wire.Item{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}),
		refused: map[string]bool{}, counts: map[string]int{}, gone: map[string]int{}, conflicts: map[string]int{},
		requests: rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS)), writes: rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))}
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

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var drops []wire.Change
	for k, it := range s.items {
		if it.Lease == id {
			drops = append(drops, wire.Change{Delete: k})
		}
	}
	if len(drops) > 0 {
		s.apply(drops)
	}
}

func (s *stateService) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.Delete != "" {
			if _, ok := s.items[c.Delete]; !ok {
				continue
			}
			delete(s.items, c.Delete)
			s.history = append(s.history, wire.Event{Delete: c.Delete, Version: s.revision})
		} else {
			s.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
			s.history = append(s.history, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
		}
		s.changes++
	}
	if n := len(s.history) - keptChanges; n > 0 {
		s.discarded = s.history[n-1].Version
		s.history = append([]wire.Event(nil), s.history[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeCount returns the number of changes since the start.
func (s *stateService) changeCount() int { s.mu.Lock(); defer s.mu.Unlock(); return s.changes }

// listen starts a listener of the state service for one controller and returns its address.
func (s *stateService) listen(node string) string {
	return serve(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 65<<10))
		if err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
		if s.hold != nil {
			s.hold(r.URL.Path, body)
		}
		status, answer, kind := s.handle(node, r, body)
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		delay := time.Duration(0)
		if s.delay != nil {
			delay = s.delay(node, kind)
		}
		s.mu.Unlock()
		time.Sleep(delay)
		writeCBOR(w, status, answer)
	})
}

type errorBody struct {
	Error string `cbor:"error"`
}

type ledgerBody struct {
	Ledger uint64   `cbor:"ledger"`
	Failed []string `cbor:"failed,omitempty"`
}

// handle carries out one request and returns its answer and its kind.
func (s *stateService) handle(node string, r *http.Request, body []byte) (status int, answer any, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	path := r.URL.Path
	kind = r.Method + " " + path
	switch {
	case path == wire.PathKV:
		kind = "range " + q.Get("prefix")
	case strings.HasPrefix(path, wire.PathKV+"/"):
		kind = "get"
	case path == wire.PathTxn:
		kind = "multi"
	case path == wire.PathWatch && q.Get("wait_ms") == "0":
		kind = "read " + q.Get("prefix")
	case path == wire.PathWatch:
		kind = "watch " + q.Get("prefix")
	case strings.HasPrefix(path, wire.PathLeases):
		kind = "lease"
	}
	s.counts[node+" "+kind]++
	if s.refused[node] {
		return http.StatusServiceUnavailable, errorBody{"refused"}, kind
	}
	if !s.requests.Allow() {
		s.limited++
		return http.StatusTooManyRequests, errorBody{"too many requests"}, kind
	}
	switch {
	case kind == "get":
		it, ok := s.items[strings.TrimPrefix(path, wire.PathKV+"/")]
		if !ok {
			return http.StatusNotFound, ledgerBody{Ledger: s.revision}, kind
		}
		return http.StatusOK, it, kind
	case path == wire.PathKV:
		return http.StatusOK, s.page(q.Get("prefix"), q.Get("after"), q.Get("limit")), kind
	case kind == "multi":
		if status, answer = s.txn(body); status == http.StatusConflict {
			s.conflicts[node]++
		}
		return status, answer, kind
	case path == wire.PathWatch:
		status, answer = s.follow(node, r, q.Get("prefix"), q.Get("after"), q.Get("wait_ms"))
		return status, answer, kind
	case path == wire.PathLeases:
		var req wire.LeaseRequest
		if wire.Unmarshal(body, &req) != nil || req.TTLMS < 100 || req.TTLMS > 600000 {
			return http.StatusBadRequest, errorBody{"malformed"}, kind
		}
		s.nextLease++
		life := time.Duration(req.TTLMS) * time.Millisecond
		s.leases[s.nextLease] = &stateLease{life, time.Now().Add(life)}
		return http.StatusOK, wire.LeaseAnswer{Lease: s.nextLease}, kind
	case strings.HasPrefix(path, wire.PathLeases+"/"):
		text, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
		id, _ := strconv.ParseUint(text, 10, 64)
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, errorBody{"no such lease"}, kind
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.ends = time.Now().Add(l.life)
		}
		return http.StatusOK, struct{}{}, kind
	}
	return http.StatusBadRequest, errorBody{"malformed"}, kind
}

func (s *stateService) page(prefix, after, limit string) wire.Page {
	most := 1000
	if n, err := strconv.Atoi(limit); err == nil && n > 0 {
		most = min(most, n)
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.Page{Revision: s.revision, Items: []wire.Item{}}
	size := 0
	for _, k := range keys {
		size += wire.Size(s.items[k].Value) + len(k) + 40
		if len(p.Items) >= most || size > 512<<10 {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[k])
	}
	return p
}

func (s *stateService) txn(body []byte) (int, any) {
	var t wire.Txn
	if len(body) > 64<<10 || wire.Unmarshal(body, &t) != nil || len(t.Then) > s.limits.TxnOps || len(t.If) > 4*s.limits.TxnOps {
		return http.StatusBadRequest, errorBody{"malformed or too large"}
	}
	if !s.writes.AllowN(time.Now(), len(t.Then)) {
		s.limited++
		return http.StatusTooManyRequests, errorBody{"too many changes"}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, errorBody{"no such lease"}
		}
		if float64(wire.Size(c.Value)) > s.limits.ValueKB*1024 {
			return http.StatusBadRequest, errorBody{"value too large"}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return http.StatusConflict, ledgerBody{s.revision, failed}
	}
	if len(t.Then) > 0 {
		s.apply(t.Then)
	}
	return http.StatusOK, ledgerBody{Ledger: s.revision}
}

// follow answers a watch. It is called with the lock held, which it gives up while it waits.
func (s *stateService) follow(node string, r *http.Request, prefix, afterText, waitText string) (int, any) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	wait, _ := strconv.ParseInt(waitText, 10, 64)
	if after < s.discarded {
		s.gone[node]++
		return http.StatusGone, errorBody{"too old"}
	}
	timer := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		news := []wire.Event{}
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				news = append(news, e)
			}
		}
		if !s.refused[node] && (len(news) > 0 || expired) {
			return http.StatusOK, wire.WatchAnswer{Revision: s.revision, Events: news}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
			timer.Reset(20 * time.Millisecond) // while the node is refused, its open watch waits on
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return http.StatusServiceUnavailable, errorBody{"closed"}
		}
		if after < s.discarded { // it has waited through a refusal
			s.gone[node]++
			return http.StatusGone, errorBody{"too old"}
		}
	}
}
