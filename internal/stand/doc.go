// Package stand implements simulators of the systems around the router: the
// platform, model engines, plain services and the answer rater. Each can inject
// faults at run time and records what it did, for invariant checks.
package stand
