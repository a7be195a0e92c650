// Package copies decides which peers hold copies of journal records that are not
// durable yet, and when a peer adopts the copies of a dead router. It does no I/O: the
// router sends the batches and reports the results.
package copies

import (
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrFull is returned if a batch exceeds the holder's limits.
var ErrFull = errors.New("no room for copies")

// EncodedRecord is an encoded record. Equal records have equal encodings.
type EncodedRecord string

// Sequence orders the batches of one incarnation.
type Sequence uint64

// Incarnation identifies one run of a router, from its start to its end.
type Incarnation struct {
	Router ident.RouterID
	Start  uint64 // increases with each start of the router
}

// Batch holds the copies that one router sends to another.
type Batch struct {
	From     Incarnation
	Sequence Sequence
	Replace  bool // remove the copies of earlier batches that are not in this one
	Records  []EncodedRecord
}

// Settings configures a Holder and a Sender.
type Settings struct {
	MaxRecords      int           // maximum number of copies held
	MaxBytes        int           // maximum total size of the copies held
	DeadTimeout     time.Duration // after which a router that is not live counts as dead
	CopiesPerRecord int           // number of peers that hold a copy of each record
	RetryInterval   time.Duration // time for which no copies are sent to a peer that failed
	RefreshInterval time.Duration // time after which unchanged copies are sent again
}

// DefaultSettings returns the default settings, given the time without heartbeats
// after which a router counts as not live.
func DefaultSettings(livenessTimeout time.Duration) Settings {
	return Settings{
		MaxRecords:      100_000,
		MaxBytes:        64 << 20,
		DeadTimeout:     2 * livenessTimeout,
		CopiesPerRecord: 2,
		RetryInterval:   2 * time.Second,
		RefreshInterval: 10 * time.Second,
	}
}
