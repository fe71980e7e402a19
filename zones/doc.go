// Package zones decides how work leaves a zone that fails and how it returns. It is a state machine
// without I/O and without a clock: the time is passed in with each call. A zone's state only orders
// and limits starts; it never proves that an attempt has ended. docs/zone-recovery.md explains the
// design.
package zones
