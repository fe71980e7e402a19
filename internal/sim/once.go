package sim

// once returns a function that forwards only its first call to fn. A call's reply and its
// time-out share one such function, so that only the earlier of the two takes effect.
func once[R any](fn func(R)) func(R) {
	done := false
	return func(r R) {
		if !done {
			done = true
			fn(r)
		}
	}
}
