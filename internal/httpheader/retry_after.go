// Package httpheader reads headers of HTTP responses.
package httpheader

import (
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter is the longest delay that RetryAfter returns.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the delay in a Retry-After header, which counts seconds, at most a day. It returns 0 if the header is
// missing, a date or negative.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
