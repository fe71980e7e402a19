package httpheader

import (
	"net/http"
	"testing"
	"time"
)

// A delay beyond the range of a duration became negative or arbitrary.
func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "-1": 0, "soon": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
		"9223372036854775807": maxRetryAfter, "9223372037": maxRetryAfter, "99999999999999999999": 0,
	} {
		header := http.Header{}
		header.Set("Retry-After", value)
		if got := RetryAfter(header); got != want {
			t.Errorf("Retry-After %q gives %v, want %v", value, got, want)
		}
	}
}
