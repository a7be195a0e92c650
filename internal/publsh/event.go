package publsh

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is an input of the machine.
type Event interface {
	isEvent()
}

// Start begins the publication.
type Start struct{}

// HeadRead carries the current head. Version 0 means that no head exists yet.
type HeadRead struct {
	Head    plat.Head
	Version plat.Version
}

// PartsRead carries the contents of parts by digest.
type PartsRead struct {
	Texts map[string][]byte
}

// PartsWritten reports that all requested parts exist.
type PartsWritten struct{}

// HeadWritten reports that the head was updated.
type HeadWritten struct{}

// HeadConflict reports that the head did not have the expected version and was not
// written.
type HeadConflict struct{}

// HeadWriteUncertain reports that it is unknown whether the head was written.
type HeadWriteUncertain struct{}

// CallFailed reports that a call failed without writing the head.
type CallFailed struct {
	Err error
}

func (Start) isEvent()              {}
func (HeadRead) isEvent()           {}
func (PartsRead) isEvent()          {}
func (PartsWritten) isEvent()       {}
func (HeadWritten) isEvent()        {}
func (HeadConflict) isEvent()       {}
func (HeadWriteUncertain) isEvent() {}
func (CallFailed) isEvent()         {}

// Action is an operation requested by the machine; each step requests one.
type Action interface {
	isAction()
}

// ReadHead reads the current head after a delay.
type ReadHead struct {
	Delay time.Duration
}

// ReadParts reads the contents of parts.
type ReadParts struct {
	Digests []string
}

// WriteParts stores files as parts, keyed by digest, unless they exist.
type WriteParts struct {
	Files []config.File
}

// WriteHead writes the head if its stored version is Expect.
type WriteHead struct {
	Head   plat.Head
	Expect plat.Version
}

// Finish ends the publication successfully.
type Finish struct {
	Result Result
}

// Fail ends the publication with an error.
type Fail struct {
	Err error
}

func (ReadHead) isAction()   {}
func (ReadParts) isAction()  {}
func (WriteParts) isAction() {}
func (WriteHead) isAction()  {}
func (Finish) isAction()     {}
func (Fail) isAction()       {}

// Result describes the published configuration.
type Result struct {
	Generation ident.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	Changed    []string         `json:"changed"` // changed paths; empty if nothing had to be published
	Kept       []string         `json:"kept"`    // published paths that are not in the tree
}
