package mesh

import "testing"

// A peer that takes nothing must not cost the messages that matter now: hints and
// progress of many machines fill its queue, and a promise comes after them.
func TestFullQueueKeepsTheNewest(t *testing.T) {
	m := &Mesh{queues: map[string]chan *Envelope{"n1": make(chan *Envelope, 4)}}
	for range 10 {
		m.Send("n1", &Envelope{Body: &Envelope_Progress{Progress: &Progress{}}})
	}
	m.Send("n1", &Envelope{Body: &Envelope_Promise{Promise: &Promise{Round: 7}}})
	m.Send("a stranger", &Envelope{}) // who claims to have asked: nothing happens
	var last *Envelope
	for range 4 {
		last = <-m.queues["n1"]
	}
	if last.GetPromise().GetRound() != 7 {
		t.Errorf("the newest message kept is %v, want the promise", last)
	}
}
