// Package stand holds small stand-ins for what surrounds the router: the
// platform, model engines, plain services and the answer rater. Each has
// faults that can be switched while it runs, and records for invariant checks.
package stand
