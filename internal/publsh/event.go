package publsh

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is what the machine is told.
type Event interface {
	isEvent()
}

// Begin starts the machine.
type Start struct{}

// HeadRead gives the head in force. Version 0 means that there is none yet.
type HeadRead struct {
	Head    plat.Head
	Version plat.Version
}

// PartsRead gives the texts of parts, by digest.
type PartsRead struct {
	Texts map[string][]byte
}

// PartsWritten says that all parts asked for exist.
type PartsWritten struct{}

// HeadWritten says that the head was moved.
type HeadWritten struct{}

// HeadMoved says that another head is in force than the one expected, and that
// nothing was written.
type HeadConflict struct{}

// HeadUnknown says that the answer to the write of the head was lost.
type HeadWriteUncertain struct{}

// Failed says that a read, or the write of a part, did not succeed.
type CallFailed struct {
	Err error
}

func (Start) isEvent()        {}
func (HeadRead) isEvent()     {}
func (PartsRead) isEvent()    {}
func (PartsWritten) isEvent() {}
func (HeadWritten) isEvent()  {}
func (HeadConflict) isEvent()    {}
func (HeadWriteUncertain) isEvent()  {}
func (CallFailed) isEvent()       {}

// Action is what the machine asks for; each step asks for one.
type Action interface {
	isAction()
}

// ReadHead asks for the head in force, after a pause.
type ReadHead struct {
	Delay time.Duration
}

// ReadParts asks for the texts of parts.
type ReadParts struct {
	Digests []string
}

// WriteParts asks that files exist as parts, keyed by their digests.
type WriteParts struct {
	Files []config.File
}

// WriteHead asks to move the head if its version is Expect.
type WriteHead struct {
	Head   plat.Head
	Expect plat.Version
}

// Finish ends the machine with the change in force.
type Finish struct {
	Result Result
}

// Fail ends the machine.
type Fail struct {
	Err error
}

func (ReadHead) isAction()   {}
func (ReadParts) isAction()  {}
func (WriteParts) isAction() {}
func (WriteHead) isAction()  {}
func (Finish) isAction()     {}
func (Fail) isAction()       {}

// Result says what is in force after a publication.
type Result struct {
	Generation ident.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	Changed    []string         `json:"changed"` // paths; empty if all was in force already
	Kept       []string         `json:"kept"`    // paths in force that the tree lacks
}
