package controller

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// timer is a function to be run by the first step at or after a time.
type timer struct {
	at     time.Time
	number uint64 // in the order in which timers are set
	fn     func()
}

// timerHeap is a heap of timers with the earliest on top.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].number, h[j].number)) < 0
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// timers are the timers that have not been run. Due ones are run in the order in which they were set.
type timers struct {
	pending timerHeap
	due     []timer // in the order in which they were set
	set     uint64  // number of timers set so far
}

// add sets a timer.
func (t *timers) add(at time.Time, fn func()) {
	t.set++
	heap.Push(&t.pending, timer{at, t.set, fn})
}

// next returns the time of the earliest timer, and false if there is none.
func (t *timers) next() (time.Time, bool) {
	if len(t.pending) == 0 {
		return time.Time{}, false
	}
	return t.pending[0].at, true
}

// run runs the due timers, also those that are set meanwhile.
func (t *timers) run(now time.Time) {
	for {
		t.collectDue(now)
		if len(t.due) == 0 {
			t.due = nil
			return
		}
		first := t.due[0]
		t.due = t.due[1:]
		first.fn()
	}
}

// collectDue moves the timers that are due from the heap to the due ones.
func (t *timers) collectDue(now time.Time) {
	collected := len(t.due)
	for len(t.pending) > 0 && !t.pending[0].at.After(now) {
		t.due = append(t.due, heap.Pop(&t.pending).(timer))
	}
	if len(t.due) > collected { // those that are collected later were set later
		slices.SortFunc(t.due[collected:], func(a, b timer) int { return cmp.Compare(a.number, b.number) })
	}
}
