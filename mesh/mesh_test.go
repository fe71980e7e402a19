package mesh

import "testing"

// The answer to a peer lease request must not be lost behind older messages: the queue of a peer that reads
// nothing is full of progress messages when the answer is sent.
func TestFullQueueKeepsTheNewest(t *testing.T) {
	m := &Mesh{queues: map[string]chan *Envelope{"n1": make(chan *Envelope, 4)}}
	for range 10 {
		m.Send("n1", &Envelope{Body: &Envelope_Progress{Progress: &Progress{}}})
	}
	m.Send("n1", &Envelope{Body: &Envelope_Promise{Promise: &Promise{Round: 7}}})
	m.Send("an unknown peer", &Envelope{}) // as an answer to a sender that is no peer: ignored
	var last *Envelope
	for range 4 {
		last = <-m.queues["n1"]
	}
	if last.GetPromise().GetRound() != 7 {
		t.Errorf("the newest queued message is %v, want the peer lease answer", last)
	}
}
