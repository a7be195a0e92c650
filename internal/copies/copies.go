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
type Text string

// Serial orders the batches of one life.
type Serial uint64

// Life is one run of a router, from its start to its end.
type Life struct {
	Router ident.RouterID
	Start  uint64 // rises with each start of the router
}

// Batch is what one router sends to another.
type Batch struct {
	From    Life
	Serial  Serial
	Replace bool // drops what batches with lower serials brought and this does not
	Texts   []Text
}

// Settings shape how copies are held and sent.
type Settings struct {
	Records int           // held for others
	Bytes   int           // held for others
	Dead    time.Duration // after which the copies of a router that is not live are adopted
	Peers   int           // that hold copies of each record
	Pause   time.Duration // without copies to a peer that failed
	Refresh time.Duration // after which a peer is sent again what it has
}

// Defaults gives the settings for a time after which a silent router counts as
// not live.
func Defaults(silence time.Duration) Settings {
	return Settings{
		Records: 100_000,
		Bytes:   64 << 20,
		Dead:    2 * silence,
		Peers:   2,
		Pause:   2 * time.Second,
		Refresh: 10 * time.Second,
	}
}
