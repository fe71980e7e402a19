// Package mesh carries protobuf messages between the controllers over TCP.
// Nothing is promised: where a peer takes nothing the oldest messages are dropped,
// and what matters is asked again by the core.
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

// Mesh sends to the other controllers and receives from them.
type Mesh struct {
	queues  map[string]chan *Envelope
	receive func(*Envelope)
}

// New starts to receive on ln, and a sender for every peer (name to address).
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

// Send queues a message to a peer. When the queue is full the oldest is dropped: a
// promise, or an answer that a worker waits for, is worth more than what is late
// already.
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
			slog.Debug("mesh message dropped", "peer", to)
		default:
		}
	}
}

func sendLoop(ctx context.Context, addr string, queue <-chan *Envelope) {
	var conn net.Conn
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-queue:
			if conn = deliver(conn, addr, e); conn == nil {
				slog.Debug("mesh peer not reached", "addr", addr)
			}
		}
	}
}

// deliver writes e on conn, dialling first where there is none; after an error
// the connection is given up.
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
			slog.Error("mesh accept", "err", err)
			time.Sleep(dialTimeout)
			continue
		}
		go m.readLoop(conn)
	}
}

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
