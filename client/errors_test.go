package client

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// startServer starts a server that answers every request with the given status and body, and with a
// Retry-After header unless it is empty. It returns the server's address.
func startServer(t *testing.T, status int, body []byte, retryAfter string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A failed call is a *CallError with its service, operation, target and status, and matches its kind and no
// other with errors.Is. The core receives the status of the response, or 0 if the response with status 200
// can't be decoded.
func TestCallErrorKindAndStatus(t *testing.T) {
	failedTxn := wire.Marshal(wire.TxnAnswer{Revision: 431, Failed: []string{"a/b"}})
	for _, c := range []struct {
		name           string
		status         int
		body           []byte
		retryHeader    string
		op             controller.StateOp
		wantKind       error
		wantOp         Operation
		wantPath       string
		wantStatus     int
		wantRetryAfter time.Duration
	}{
		{"compare-and-swap failed", http.StatusConflict, failedTxn, "", controller.OpTxn, ErrConditionFailed, OpTransaction, wire.PathTxn, http.StatusConflict, 0},
		{"no such key", http.StatusNotFound, wire.Marshal(wire.Page{Revision: 431}), "", controller.OpGet, ErrNotFound, OpGet, wire.PathKV + "/a/b", http.StatusNotFound, 0},
		{"lease expired", http.StatusNotFound, nil, "", controller.OpRenew, ErrNotFound, OpRenewLease, wire.PathLeases + "/7" + wire.PathRenewLease, http.StatusNotFound, 0},
		{"watch revision compacted", http.StatusGone, nil, "", controller.OpWatch, ErrCompacted, OpWatch, wire.PathWatch, http.StatusGone, 0},
		{"rate limited", http.StatusTooManyRequests, nil, "3", controller.OpRange, ErrRateLimited, OpRange, wire.PathKV, http.StatusTooManyRequests, 3 * time.Second},
		{"outage", http.StatusServiceUnavailable, nil, "", controller.OpGrant, ErrUnavailable, OpGrantLease, wire.PathLeases, http.StatusServiceUnavailable, 0},
		{"bad request", http.StatusBadRequest, wire.Marshal(wire.Error{Error: "no such lease"}), "", controller.OpTxn, ErrRefused, OpTransaction, wire.PathTxn, http.StatusBadRequest, 0},
		{"malformed response", http.StatusOK, []byte("not cbor"), "", controller.OpGet, ErrMalformedResponse, OpGet, wire.PathKV + "/a/b", 0, 0},
	} {
		client := New(startServer(t, c.status, c.body, c.retryHeader), "127.0.0.1:1", 4, func() bool { return true })
		sc := controller.StateCall{Op: c.op, Key: "a/b", Lease: 7, Timeout: time.Minute}
		var reply controller.StateReply
		err := client.stateCall(sc, &reply).send(client.services)
		var call *CallError
		if !errors.As(err, &call) || !errors.Is(err, c.wantKind) {
			t.Errorf("%s: want %v in a *CallError, got %T %v", c.name, c.wantKind, err, err)
			continue
		}
		if call.Service != StateService || call.Op != c.wantOp || !strings.Contains(call.Target, c.wantPath) || call.Status != c.status || call.RetryAfter != c.wantRetryAfter {
			t.Errorf("%s: unexpected fields of the error: %+v", c.name, call)
		}
		if errors.Is(err, ErrNoResponse) || c.wantKind != ErrRefused && errors.Is(err, ErrRefused) {
			t.Errorf("%s: matches another kind: %v", c.name, err)
		}
		if got := client.State(sc).Status; got != c.wantStatus {
			t.Errorf("%s: the core receives status %d, want %d", c.name, got, c.wantStatus)
		}
	}
}

// The response of a failed transaction is decoded: the core needs the keys whose conditions failed.
func TestFailedTransactionBodyIsDecoded(t *testing.T) {
	addr := startServer(t, http.StatusConflict, wire.Marshal(wire.TxnAnswer{Revision: 431, Failed: []string{"a/b"}}), "")
	c := New(addr, "127.0.0.1:1", 4, func() bool { return true })
	r := c.State(controller.StateCall{Op: controller.OpTxn, Timeout: time.Minute})
	if r.Status != http.StatusConflict || len(r.Txn.Failed) != 1 || r.Txn.Failed[0] != "a/b" || r.Txn.Revision != 431 {
		t.Errorf("want status 409 with the decoded body, got %+v", r)
	}
}

// Without a response the kind is ErrNoResponse, the transport's error is wrapped, and the core receives
// status 0.
func TestNoResponseWrapsTransportError(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	c := New(addr, addr, 4, func() bool { return true })
	var reply controller.StateReply
	err = c.stateCall(controller.StateCall{Op: controller.OpGet, Key: "a", Timeout: time.Minute}, &reply).send(c.services)
	var call *CallError
	if !errors.As(err, &call) || !errors.Is(err, ErrNoResponse) || !errors.Is(err, syscall.ECONNREFUSED) || call.Status != 0 {
		t.Errorf("want ErrNoResponse and ECONNREFUSED in a *CallError with status 0, got %T %v", err, err)
	}
	if r := c.Cloud(controller.CloudCall{Op: controller.CloudTypes, Timeout: time.Minute}); r.Status != 0 {
		t.Errorf("call to the cloud: the core receives status %d, want 0", r.Status)
	}
}

// A worker that rejects commands because of a stale fencing token gives ErrFenced, not
// ErrConditionFailed, and its report is decoded.
func TestWorkerConflictIsFenced(t *testing.T) {
	addr := startServer(t, http.StatusConflict, wire.Marshal(wire.Report{Machine: "i-1", Token: 42}), "")
	c := New("127.0.0.1:1", "127.0.0.1:1", 4, func() bool { return true })
	cmd := controller.WorkerCall{Machine: "i-1", Addr: addr, Timeout: time.Minute}
	var reply controller.WorkerReply
	err := workerCall(cmd, &reply).send(c.workers)
	var call *CallError
	if !errors.As(err, &call) || !errors.Is(err, ErrFenced) || errors.Is(err, ErrConditionFailed) || call.Service != Worker || call.Op != OpCommands {
		t.Errorf("want ErrFenced in a *CallError of a worker's commands, got %T %v", err, err)
	}
	if r := c.Worker(cmd); r.Status != http.StatusConflict || r.Report.Token != 42 {
		t.Errorf("want status 409 with the report of token 42, got %+v", r)
	}
}

// The cloud's response for lack of capacity is ErrUnavailable, and the error text contains the service, the
// operation, the HTTP method, the URL and the status.
func TestCloudWithoutCapacity(t *testing.T) {
	addr := startServer(t, http.StatusServiceUnavailable, wire.Marshal(wire.Error{Error: "no capacity"}), "")
	c := New("127.0.0.1:1", addr, 4, func() bool { return true })
	cc := controller.CloudCall{Op: controller.CloudRent, Rent: wire.RentRequest{Request: "r-1", Count: 2}, Timeout: time.Minute}
	var reply controller.CloudReply
	err := c.cloudCall(cc, &reply).send(c.services)
	if !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), "cloud scale out POST http://"+addr+wire.PathMachines+": status 503") {
		t.Errorf("want ErrUnavailable with the call and status 503 in its text, got %v", err)
	}
	if r := c.Cloud(cc); r.Status != http.StatusServiceUnavailable {
		t.Errorf("the core receives status %d, want 503", r.Status)
	}
}
