// Package mesh carries protobuf messages between the controllers over TCP.
// Delivery is not guaranteed: when a peer does not keep up, the oldest messages
// are dropped, and the core repeats the requests that matter.
package mesh

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	maxFrameBytes = 1 << 20
	dialTimeout   = time.Second
	sendTimeout   = time.Second
	queueLength   = 64
)

// Mesh sends messages to the other controllers and receives messages from them.
type Mesh struct {
	queues  map[string]chan *Envelope
	receive func(*Envelope)
}

// New starts receiving on ln, and one sending goroutine for each peer. peers maps
// names to addresses; receive is called with every message, from several goroutines.
func New(ctx context.Context, ln net.Listener, peers map[string]string, receive func(*Envelope)) *Mesh {
	m := &Mesh{queues: map[string]chan *Envelope{}, receive: receive}
	for name, addr := range peers {
		queue := make(chan *Envelope, queueLength)
		m.queues[name] = queue
		go sendLoop(ctx, addr, queue)
	}
	go m.acceptLoop(ln)
	return m
}

// Send queues a message to a peer; a message to an unknown peer is ignored. When
// the queue is full, its oldest message is dropped, because a new peer lease message or an
// answer that a worker waits for matters more than messages that are already late.
func (m *Mesh) Send(to string, e *Envelope) {
	queue, known := m.queues[to]
	for known {
		select {
		case queue <- e:
			return
		default:
		}
		select {
		case <-queue:
			slog.Debug("mesh queue full: oldest message dropped", "peer", to)
		default:
		}
	}
}

// sendLoop delivers the messages of one peer's queue until ctx is done.
func sendLoop(ctx context.Context, addr string, queue <-chan *Envelope) {
	var conn net.Conn
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-queue:
			if conn = deliver(conn, addr, e); conn == nil {
				slog.Debug("mesh message not sent: peer not reached", "addr", addr)
			}
		}
	}
}

// deliver writes e to conn, or to a new connection if conn is nil. It returns the
// connection for the next message; after an error it closes the connection and
// returns nil.
func deliver(conn net.Conn, addr string, e *Envelope) net.Conn {
	if conn == nil {
		c, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return nil
		}
		conn = c
	}
	body, err := proto.Marshal(e)
	if err != nil {
		return conn
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err == nil {
		if _, err = conn.Write(append(frame, body...)); err == nil {
			return conn
		}
	}
	conn.Close()
	return nil
}

func (m *Mesh) acceptLoop(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			slog.Error("mesh listener failed to accept a connection", "err", err)
			time.Sleep(dialTimeout)
			continue
		}
		go m.readLoop(conn)
	}
}

// readLoop receives messages from a connection until it fails, or sends a frame
// that is too large or can't be decoded. A frame is a message behind its length
// as four bytes, big-endian.
func (m *Mesh) readLoop(conn net.Conn) {
	defer conn.Close()
	for {
		var head [4]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(head[:])
		if size > maxFrameBytes {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		e := &Envelope{}
		if err := proto.Unmarshal(body, e); err != nil {
			return
		}
		m.receive(e)
	}
}
