// Package cells decides which of several cells may run a job. It holds the two sides of a transfer
// as pure functions on records: a home cell grants a job to a holder, and takes it back only with
// the holder's recorded word. What is sent follows from what is recorded and from nothing else, so a
// process that ends loses nothing. docs/cells.md has the invariants and why it is done this way.
package cells
