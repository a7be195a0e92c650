// Package flow implements the state machine of one inference or service request,
// from admission to billing. It takes events and the present time, returns
// actions, and has no side effects.
package flow
