package cmd

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
)

// The exit codes of the command line.
const (
	exitOK          = 0
	exitRefused     = 1 // invalid change, or conflict with another change
	exitInput       = 2 // invalid flags, settings or files
	exitUnreachable = 3 // platform or routers unreachable
	exitNotApplied  = 4 // published, but not applied by every router in time
)

// inputError is an error in the operator's flags, settings or files.
type inputError struct {
	err error
}

// Error returns the text of the wrapped error.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *inputError) Unwrap() error { return e.err }

// unreachableError is the error of a request to a router that did not respond or
// cannot serve the request now.
type unreachableError struct {
	err       error
	responded bool // whether the router sent a response
}

// Error returns the text of the wrapped error.
func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *unreachableError) Unwrap() error { return e.err }

// errorResult is the JSON result of a failed command.
type errorResult struct {
	Error    string          `json:"error"`
	Exit     int             `json:"exit"`
	Problems config.Problems `json:"problems,omitempty"`
}

func badInput(err error) error {
	return &inputError{err: err}
}

// reportError prints an error and returns its exit code.
func (a *App) reportError(flags *Flags, err error) int {
	code := exitCode(err)
	if !flags.JSON {
		fmt.Fprintf(a.deps.Err, "marigoldscale: %v\n", err)
		return code
	}
	result := errorResult{Error: err.Error(), Exit: code}
	errors.As(err, &result.Problems)
	var invalid *publsh.InvalidError
	if errors.As(err, &invalid) {
		result.Problems = invalid.Problems
	}
	encoder := json.NewEncoder(a.deps.Out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result) // if it cannot be printed, the exit code still reports the failure
	return code
}

func exitCode(err error) int {
	var input *inputError
	var problems config.Problems
	var lagging *publsh.LaggingError
	var failed *unreachableError
	switch {
	case errors.As(err, &lagging):
		return exitNotApplied
	case errors.As(err, &input), errors.As(err, &problems):
		return exitInput
	case errors.As(err, &failed), errors.Is(err, plat.ErrUnavailable), errors.Is(err, plat.ErrUncertain):
		return exitUnreachable
	}
	return exitRefused
}
