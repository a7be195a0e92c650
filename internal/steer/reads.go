package steer

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// readLeast is the least number of shared tokens that is worth telling.
	readLeast ident.Tokens = 1000
	// readAgain is the time in which a read that was told is not told again:
	// longer than its way through all routers, so that none goes in circles.
	readAgain = 3 * time.Second
	// readsMost bounds the reads that are remembered for passing them on.
	readsMost = 8192
)

// readKey names a shared beginning of prompts at an endpoint.
type readKey struct {
	endpoint ident.EndpointID
	hash     uint64
}

type readNote struct {
	at   time.Time
	mark uint64
	from direction
}

// direction tells where news came from.
type direction int

const (
	fromBelow direction = iota // this router, or those that follow it
	fromAbove                  // the router that this one follows
)

// reads passes on which shared parts of prompts endpoints were sent, so that
// all routers know where they are cached. It is safe for use by many goroutines.
type reads struct {
	lock  sync.Mutex
	count uint64
	notes map[readKey]readNote
	tell  func(ident.EndpointID, []uint64)
}

func newReads() *reads {
	return &reads{notes: map[readKey]readNote{}, tell: func(ident.EndpointID, []uint64) {}}
}

func (r *reads) listen(tell func(ident.EndpointID, []uint64)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.tell = tell
}

// add notes reads, and gives those that are new.
func (r *reads) add(now time.Time, from direction, endpoint ident.EndpointID, chain []uint64) []uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	var fresh []uint64
	for _, hash := range chain {
		key := readKey{endpoint, hash}
		if old, known := r.notes[key]; known && now.Sub(old.at) < readAgain {
			continue
		}
		if len(r.notes) >= readsMost {
			clear(r.notes)
		}
		r.count++
		r.notes[key] = readNote{at: now, mark: r.count, from: from}
		fresh = append(fresh, hash)
	}
	return fresh
}

// take takes in what another router told.
func (r *reads) take(now time.Time, from direction, read map[ident.EndpointID][]uint64) {
	r.lock.Lock()
	tell := r.tell
	r.lock.Unlock()
	for endpoint, chain := range read {
		if fresh := r.add(now, from, endpoint, chain); len(fresh) > 0 {
			tell(endpoint, fresh)
		}
	}
}

// since gives the reads noted after a mark that are to go up or down, and moves
// the mark on. What came from above does not go back there.
func (r *reads) since(now time.Time, up bool, mark *uint64) map[ident.EndpointID][]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	var out map[ident.EndpointID][]uint64
	for key, n := range r.notes {
		switch {
		case now.Sub(n.at) >= readAgain:
			delete(r.notes, key)
		case n.mark > *mark && !(up && n.from == fromAbove):
			if out == nil {
				out = map[ident.EndpointID][]uint64{}
			}
			out[key.endpoint] = append(out[key.endpoint], key.hash)
		}
	}
	*mark = r.count
	return out
}

// Reads takes in that this router sent the shared parts of a prompt to an
// endpoint.
func (t *Steer) Reads(now time.Time, endpoint ident.EndpointID, chain []uint64, parts []route.PromptPart) {
	tokens := ident.Tokens(0)
	for _, p := range parts {
		tokens += p.Tokens
	}
	if tokens >= readLeast {
		t.reads.add(now, fromBelow, endpoint, chain)
	}
}
