package sim

import "pumicefront/internal/history"

// note adds an event to the history, where one is kept.
func (w *World) note(e history.Event) {
	if !w.keepHistory {
		return
	}
	e.At = w.now
	if w.cluster != nil { // machines of different cells may have the same name
		e.Machine = cellName(w.place) + "/" + e.Machine
		w.cluster.history = append(w.cluster.history, e)
		return
	}
	w.history = append(w.history, e)
}

func (h *host) noteEnd(t *task) {
	h.w.note(history.Event{Kind: history.Ended, Task: t.id, Attempt: t.attempt, Machine: h.id})
}

// noteEnds notes the end of all that is on the machine.
func (h *host) noteEnds() {
	for _, t := range h.tasks {
		if t.onMachine() {
			h.noteEnd(t)
		}
	}
}
