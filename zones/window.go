package zones

import "time"

// window limits the starts that are in progress at once. It grows by one with each start that succeeds,
// so it doubles with every full round of starts, and halves with each one that fails.
type window struct {
	size    int
	minSize int
}

// maxWindow limits the size of a window; a window of this size no longer limits any known deployment.
const maxWindow = 1 << 20

func (w *window) succeeded() { w.size = min(w.size+1, maxWindow) }

func (w *window) failed() { w.size = max(w.size/2, w.minSize) }

// resetWindows sets all windows to their initial sizes.
func (z *zone) resetWindows(s Settings) {
	z.window = window{size: s.FirstStarts, minSize: s.FirstStarts}
	z.fetchWindows = map[string]*window{}
}

// limited reports whether starts in a zone are limited.
func (z *zone) limited() bool { return z.state == Lost || z.state == HeldDown || z.state == Returning }

// Start is a start of a task in a zone.
type Start struct {
	Zone    string // the zone's name
	Image   string // the image of the task
	Fetches bool   // its machine does not have the image
}

// Succeeded records a start that succeeded.
func (t *Tracker) Succeeded(s Start) { t.resizeWindows(s, (*window).succeeded) }

// Failed records a start that did not succeed.
func (t *Tracker) Failed(s Start) { t.resizeWindows(s, (*window).failed) }

// resizeWindows changes the windows that a start counts against, if its zone is limited.
func (t *Tracker) resizeWindows(s Start, change func(*window)) {
	z := t.zones[s.Zone]
	if z == nil || !z.limited() {
		return
	}
	change(&z.window)
	if s.Fetches {
		change(z.fetchWindow(s.Image, t.settings))
	}
}

// fetchWindow returns the window for starts that fetch an image.
func (z *zone) fetchWindow(image string, s Settings) *window {
	w := z.fetchWindows[image]
	if w == nil {
		w = &window{size: s.FirstFetches, minSize: s.FirstFetches}
		z.fetchWindows[image] = w
	}
	return w
}

// RecordThrottledStart records that the limit on starts delayed a start in a zone that had room for it.
func (t *Tracker) RecordThrottledStart(now time.Time, name string) {
	if z := t.zones[name]; z != nil && z.state == Returning {
		z.throttledAt = now
	}
}

// Admission describes which starts a zone admits now.
type Admission struct {
	Limited    bool // the other fields apply; if false, all starts are admitted
	PinnedOnly bool // only tasks that can run in no other zone are admitted
	Starts     int  // limit on the starts in progress at once
}

// Admission returns which starts a zone admits now.
func (t *Tracker) Admission(name string) Admission {
	z := t.zones[name]
	if z == nil || !z.limited() {
		return Admission{}
	}
	return Admission{Limited: true, PinnedOnly: z.state != Returning, Starts: z.window.size}
}

// FetchLimit returns the limit on the starts in progress at once in a zone that fetch the given image.
func (t *Tracker) FetchLimit(name, image string) int {
	z := t.zones[name]
	if z == nil || z.fetchWindows[image] == nil {
		return t.settings.FirstFetches
	}
	return z.fetchWindows[image].size
}
