// Package zones decides how work leaves a zone that fails and how it returns. It is a pure state
// machine without a clock: time comes in with each call. A zone's state only orders and limits
// starts; it never proves that an attempt is gone. docs/zone-recovery.md tells why it is as it is.
package zones
