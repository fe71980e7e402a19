package sim

import "pumicefront/internal/history"

// note appends an event to the history, if the run keeps one.
func (w *World) note(e history.Event) {
	if !w.keepHistory {
		return
	}
	e.At = w.now
	if w.cluster != nil { // machines of different cells may have the same id
		e.Machine = cellName(w.place) + "/" + e.Machine
		w.cluster.history = append(w.cluster.history, e)
		return
	}
	w.history = append(w.history, e)
}

// noteEnd records the end of a task in the history.
func (h *host) noteEnd(t *task) {
	h.w.note(history.Event{Kind: history.Ended, Task: t.id, Attempt: t.attempt, Machine: h.id})
}

// noteEnds records the end of every task that runs or saves on the machine.
func (h *host) noteEnds() {
	for _, t := range h.tasks {
		if t.onMachine() {
			h.noteEnd(t)
		}
	}
}
