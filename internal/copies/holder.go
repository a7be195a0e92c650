package copies

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Holder holds copies of other routers' records. It is not safe for use by
// several goroutines at once.
type Holder struct {
	settings Settings
	owners   map[Incarnation]*owner
	records  int
	bytes    int
}

type owner struct {
	held  map[EncodedRecord]*held
	gone  bool
	since time.Time // when it was first seen to be gone
}

type held struct {
	serial  Sequence
	adopted bool // the holder's own journal has it
}

// NewHolder makes a holder without copies.
func NewHolder(settings Settings) *Holder {
	return &Holder{settings: settings, owners: map[Incarnation]*owner{}}
}

// Receive takes in a batch. It fails with ErrFull if the batch has more new
// copies than there is room for; what it drops is dropped even so.
func (h *Holder) Receive(b Batch) error {
	o, ok := h.owners[b.From]
	if !ok {
		o = &owner{held: map[EncodedRecord]*held{}}
		h.owners[b.From] = o
	}
	for _, t := range b.Records {
		if c, ok := o.held[t]; ok {
			c.serial = max(c.serial, b.Sequence)
		}
	}
	if b.Replace {
		h.replace(o, b)
	}
	records, bytes := 0, 0
	for _, t := range b.Records {
		if _, ok := o.held[t]; !ok {
			records++
			bytes += len(t)
		}
	}
	if h.records+records > h.settings.MaxRecords || h.bytes+bytes > h.settings.MaxBytes {
		return fmt.Errorf("%d copies of router %q: %w", records, b.From.Router, ErrFull)
	}
	for _, t := range b.Records {
		if _, ok := o.held[t]; !ok {
			o.held[t] = &held{serial: b.Sequence}
			h.records++
			h.bytes += len(t)
		}
	}
	return nil
}

// replace drops the copies that a batch outdates. Serials tell them from
// copies that were sent after the batch was put together.
func (h *Holder) replace(o *owner, b Batch) {
	for t, c := range o.held {
		if c.serial < b.Sequence {
			h.drop(o, t)
		}
	}
}

// Due gives the copies whose owners are dead and that the holder's journal
// must take, sorted. They stay due until Adopted.
func (h *Holder) Orphaned(now time.Time, live []ident.RouterID) []EncodedRecord {
	var due []EncodedRecord
	for life, o := range h.owners {
		if !h.dead(now, life, o, slices.Contains(live, life.Router)) {
			continue
		}
		for t, c := range o.held {
			if !c.adopted {
				due = append(due, t)
			}
		}
	}
	slices.Sort(due)
	return slices.Compact(due)
}

// dead tells whether a life has ended: another one of its router began, or the
// router has not been live for long.
func (h *Holder) dead(now time.Time, life Incarnation, o *owner, live bool) bool {
	if h.older(life) {
		return true
	}
	if live {
		o.gone = false
		return false
	}
	if !o.gone {
		o.gone, o.since = true, now
	}
	return now.Sub(o.since) > h.settings.DeadTimeout
}

// Adopted notes that the holder's journal has taken copies.
func (h *Holder) MarkAdopted(texts []EncodedRecord) {
	for _, o := range h.owners {
		for _, t := range texts {
			if c, ok := o.held[t]; ok {
				c.adopted = true
			}
		}
	}
}

// Settle drops the adopted copies that the holder's journal no longer has
// pending, as they are durable, and forgets dead owners without copies.
func (h *Holder) RemoveDurable(pending []EncodedRecord) {
	waiting := make(map[EncodedRecord]bool, len(pending))
	for _, t := range pending {
		waiting[t] = true
	}
	for life, o := range h.owners {
		for t, c := range o.held {
			if c.adopted && !waiting[t] {
				h.drop(o, t)
			}
		}
		if len(o.held) == 0 && (o.gone || h.older(life)) {
			delete(h.owners, life)
		}
	}
}

// older tells whether a later life of the same router is known.
func (h *Holder) older(life Incarnation) bool {
	for other := range h.owners {
		if other.Router == life.Router && other.Start > life.Start {
			return true
		}
	}
	return false
}

// Held gives the number of copies held and their bytes.
func (h *Holder) Size() (records, bytes int) {
	return h.records, h.bytes
}

func (h *Holder) drop(o *owner, t EncodedRecord) {
	delete(o.held, t)
	h.records--
	h.bytes -= len(t)
}
