//go:build review

package main

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"pumicefront/wire"
)

// serve starts a server on a free loopback port and returns its address.
func serve(handler http.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

func writeCBOR(w http.ResponseWriter, status int, body any) {
	raw := wire.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
