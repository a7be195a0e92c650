package cmd

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
)

// The exit codes.
const (
	exitOK      = 0
	exitRefused = 1 // refused by the rules, or in conflict with another change
	exitInput   = 2 // bad input: flags, settings or files
	exitUnreachable   = 3 // the platform or the routers can't be reached
	exitNotApplied  = 4 // accepted, but not in force everywhere in time
)

// inputError is a fault of what the operator gave.
type inputError struct {
	err error
}

// Error gives the fault's text.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap gives the fault.
func (e *inputError) Unwrap() error { return e.err }

// reachError is a router that can't be asked, or not now.
type unreachableError struct {
	err   error
	responded bool // it did answer
}

// Error gives the fault's text.
func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap gives the fault.
func (e *unreachableError) Unwrap() error { return e.err }

// failure is an error as JSON.
type errorResult struct {
	Error    string          `json:"error"`
	Exit     int             `json:"exit"`
	Problems config.Problems `json:"problems,omitempty"`
}

func badInput(err error) error {
	return &inputError{err: err}
}

// fail prints an error and gives its exit code.
func (a *App) reportError(flags *Flags, err error) int {
	code := exitCode(err)
	if !flags.JSON {
		fmt.Fprintf(a.deps.Err, "marigoldscale: %v\n", err)
		return code
	}
	f := errorResult{Error: err.Error(), Exit: code}
	errors.As(err, &f.Problems)
	var refused *publsh.Refused
	if errors.As(err, &refused) {
		f.Problems = refused.Problems
	}
	encoder := json.NewEncoder(a.deps.Out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(f) // the exit code tells the failure all the same
	return code
}

func exitCode(err error) int {
	var input *inputError
	var problems config.Problems
	var behind *publsh.Behind
	var reach *unreachableError
	switch {
	case errors.As(err, &behind):
		return exitNotApplied
	case errors.As(err, &input), errors.As(err, &problems):
		return exitInput
	case errors.As(err, &reach), errors.Is(err, plat.ErrUnavailable), errors.Is(err, plat.ErrUncertain):
		return exitUnreachable
	}
	return exitRefused
}
