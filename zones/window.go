package zones

import "time"

// window bounds the starts that are under way at once. It grows by one with each that succeeds,
// so it doubles with every round of starts, and halves with each that fails.
type window struct {
	size  int
	least int
}

// mostStarts bounds a window: beyond it no deployment that was measured is limited any more.
const mostStarts = 1 << 20

func (w *window) succeeded() { w.size = min(w.size+1, mostStarts) }

func (w *window) failed() { w.size = max(w.size/2, w.least) }

func (z *zone) resetWindows(s Settings) {
	z.window = window{size: s.FirstStarts, least: s.FirstStarts}
	z.fetches = map[string]*window{}
}

// limited reports whether a zone's starts are limited.
func (z *zone) limited() bool { return z.state == Lost || z.state == HeldDown || z.state == Returning }

// Start is a start of a task in a zone.
type Start struct {
	Zone    string // the zone's name
	Image   string // the image of the task
	Fetches bool   // its machine lacks the image
}

// Succeeded counts a start that has ended well.
func (t *Tracker) Succeeded(s Start) { t.count(s, (*window).succeeded) }

// Failed counts a start that has ended otherwise.
func (t *Tracker) Failed(s Start) { t.count(s, (*window).failed) }

func (t *Tracker) count(s Start, change func(*window)) {
	z := t.zones[s.Zone]
	if z == nil || !z.limited() {
		return
	}
	change(&z.window)
	if s.Fetches {
		change(z.fetch(s.Image, t.settings))
	}
}

func (z *zone) fetch(image string, s Settings) *window {
	w := z.fetches[image]
	if w == nil {
		w = &window{size: s.FirstFetches, least: s.FirstFetches}
		z.fetches[image] = w
	}
	return w
}

// HeldBack notes that a start which had room in a zone was held back.
func (t *Tracker) HeldBack(now time.Time, name string) {
	if z := t.zones[name]; z != nil && z.state == Returning {
		z.heldBackAt = now
	}
}

// Admission is what a zone takes now.
type Admission struct {
	Limited   bool // the rest holds; otherwise anything may start there
	BoundOnly bool // only what can run nowhere else
	Starts    int  // that may be under way at once
}

// Admission returns what a zone takes now.
func (t *Tracker) Admission(name string) Admission {
	z := t.zones[name]
	if z == nil || !z.limited() {
		return Admission{}
	}
	return Admission{Limited: true, BoundOnly: z.state != Returning, Starts: z.window.size}
}

// Fetches returns how many starts that need an image fetched may be under way at once in a zone.
func (t *Tracker) Fetches(name, image string) int {
	z := t.zones[name]
	if z == nil || z.fetches[image] == nil {
		return t.settings.FirstFetches
	}
	return z.fetches[image].size
}
