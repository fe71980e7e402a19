package sim

// once passes on the first call alone: of a reply and the end of the wait for it, whichever is first.
func once[R any](fn func(R)) func(R) {
	done := false
	return func(r R) {
		if !done {
			done = true
			fn(r)
		}
	}
}
