// Package mesh carries protobuf messages between the controllers over TCP.
// Delivery is not guaranteed: a message is dropped if its peer cannot be reached, and
// the oldest messages are dropped if a peer does not keep up. The controller's core
// sends again the requests that must be answered.
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
	queueLength   = 64 // messages per peer
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
// the queue is full, its oldest message is dropped: a new peer lease message, or an answer
// that a worker waits for, is more urgent than queued messages, which are already delayed.
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
				slog.Debug("mesh message dropped: failed to connect or write to peer", "addr", addr)
			}
		}
	}
}

// deliver writes e to conn, or to a new connection if conn is nil. It returns the
// connection for the next message, or nil after a network error, on which it closes
// the connection. A message that cannot be encoded is dropped and the connection kept.
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
			time.Sleep(dialTimeout) // pause before the next attempt, so that a persistent error does not cause a busy loop
			continue
		}
		go m.readLoop(conn)
	}
}

// readLoop receives messages from a connection until reading fails, or until a frame
// is larger than maxFrameBytes or cannot be decoded. A frame is the length of the
// encoded message as four bytes, big-endian, followed by the message.
func (m *Mesh) readLoop(conn net.Conn) {
	defer conn.Close()
	for {
		var lengthPrefix [4]byte
		if _, err := io.ReadFull(conn, lengthPrefix[:]); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(lengthPrefix[:])
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
