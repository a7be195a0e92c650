// Package copies decides which peers hold copies of journal records that are
// not durable yet, and when a peer's copies replace their dead owner. It does
// no I/O: the router sends, and tells what came of it.
package copies

import (
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrFull means that the holder has no room for the copies.
var ErrFull = errors.New("no room for copies")

// Text is the encoded form of a record; equal records have equal texts.
type EncodedRecord string

// Serial orders the batches of one life.
type Sequence uint64

// Life is one run of a router, from its start to its end.
type Incarnation struct {
	Router ident.RouterID
	Start  uint64 // rises with each start of the router
}

// Batch is what one router sends to another.
type Batch struct {
	From    Incarnation
	Sequence  Sequence
	Replace bool // drops what batches with lower serials brought and this does not
	Records   []EncodedRecord
}

// Settings shape how copies are held and sent.
type Settings struct {
	MaxRecords int           // held for others
	MaxBytes   int           // held for others
	DeadTimeout    time.Duration // after which the copies of a router that is not live are adopted
	CopiesPerRecord   int           // that hold copies of each record
	RetryInterval   time.Duration // without copies to a peer that failed
	RefreshInterval time.Duration // after which a peer is sent again what it has
}

// Defaults gives the settings for a time after which a silent router counts as
// not live.
func DefaultSettings(silence time.Duration) Settings {
	return Settings{
		MaxRecords: 100_000,
		MaxBytes:   64 << 20,
		DeadTimeout:    2 * silence,
		CopiesPerRecord:   2,
		RetryInterval:   2 * time.Second,
		RefreshInterval: 10 * time.Second,
	}
}
