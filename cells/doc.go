// Package cells decides which of several cells may run a job. It implements both sides of a transfer
// as pure functions on records: a home cell grants a job to a holder, and takes it back only after
// the holder has recorded that the grant ended. Messages are derived only from stored records, so a
// process that stops loses nothing. docs/cells.md has the invariants and the reasons for the design.
package cells
