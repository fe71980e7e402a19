package sim

import "pumicefront/internal/history"

// recordEvent appends an event to the history, if the run keeps one.
func (w *World) recordEvent(e history.Event) {
	if !w.keepHistory {
		return
	}
	e.At = w.now
	if w.federation != nil { // machines of different cells may have the same id
		e.Machine = cellName(w.cellIndex) + "/" + e.Machine
		w.federation.history = append(w.federation.history, e)
		return
	}
	w.history = append(w.history, e)
}

// recordTaskEnd records the end of a task in the history.
func (h *host) recordTaskEnd(t *task) {
	h.w.recordEvent(history.Event{Kind: history.Ended, Task: t.id, Attempt: t.attempt, Machine: h.id})
}

// recordTaskEnds records the end of every task that runs or saves on the machine.
func (h *host) recordTaskEnds() {
	for _, t := range h.tasks {
		if t.onMachine() {
			h.recordTaskEnd(t)
		}
	}
}
