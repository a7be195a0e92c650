package copies

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Holder holds copies of other routers' records. It is not safe for concurrent use.
type Holder struct {
	settings Settings
	owners   map[Incarnation]*owner
	records  int
	bytes    int
}

type owner struct {
	copies      map[EncodedRecord]*heldCopy
	absent      bool
	absentSince time.Time // when it was first seen to be absent
}

type heldCopy struct {
	sequence Sequence
	adopted  bool // accepted by the holder's own journal
}

// NewHolder returns a Holder without copies.
func NewHolder(settings Settings) *Holder {
	return &Holder{settings: settings, owners: map[Incarnation]*owner{}}
}

// Receive stores a batch. It returns ErrFull, and adds no copies, if the new copies
// exceed the limits. The copies that the batch replaces are removed in any case.
func (h *Holder) Receive(b Batch) error {
	o, ok := h.owners[b.From]
	if !ok {
		o = &owner{copies: map[EncodedRecord]*heldCopy{}}
		h.owners[b.From] = o
	}
	for _, record := range b.Records {
		if held, ok := o.copies[record]; ok {
			held.sequence = max(held.sequence, b.Sequence)
		}
	}
	if b.Replace {
		h.replace(o, b)
	}
	records, bytes := 0, 0
	for _, record := range b.Records {
		if _, ok := o.copies[record]; !ok {
			records++
			bytes += len(record)
		}
	}
	if h.records+records > h.settings.MaxRecords || h.bytes+bytes > h.settings.MaxBytes {
		return fmt.Errorf("%d copies of router %q: %w", records, b.From.Router, ErrFull)
	}
	for _, record := range b.Records {
		if _, ok := o.copies[record]; !ok {
			o.copies[record] = &heldCopy{sequence: b.Sequence}
			h.records++
			h.bytes += len(record)
		}
	}
	return nil
}

// replace removes the copies that a batch replaces. It keeps copies with a later
// sequence number, which were sent after the batch was created.
func (h *Holder) replace(o *owner, b Batch) {
	for record, held := range o.copies {
		if held.sequence < b.Sequence {
			h.remove(o, record)
		}
	}
}

// Orphaned returns, sorted, the copies of dead owners that the holder's journal must
// accept, until they are passed to MarkAdopted.
func (h *Holder) Orphaned(now time.Time, live []ident.RouterID) []EncodedRecord {
	var orphaned []EncodedRecord
	for incarnation, o := range h.owners {
		if !h.ownerDead(now, incarnation, o, slices.Contains(live, incarnation.Router)) {
			continue
		}
		for record, held := range o.copies {
			if !held.adopted {
				orphaned = append(orphaned, record)
			}
		}
	}
	slices.Sort(orphaned)
	return slices.Compact(orphaned)
}

// ownerDead reports whether an incarnation has ended: a later one of the same router
// is known, or the router has not been live for the dead timeout.
func (h *Holder) ownerDead(now time.Time, incarnation Incarnation, o *owner, live bool) bool {
	if h.superseded(incarnation) {
		return true
	}
	if live {
		o.absent = false
		return false
	}
	if !o.absent {
		o.absent, o.absentSince = true, now
	}
	return now.Sub(o.absentSince) > h.settings.DeadTimeout
}

// MarkAdopted records that the holder's journal has accepted copies.
func (h *Holder) MarkAdopted(records []EncodedRecord) {
	for _, o := range h.owners {
		for _, record := range records {
			if held, ok := o.copies[record]; ok {
				held.adopted = true
			}
		}
	}
}

// RemoveDurable removes the adopted copies that are no longer pending in the holder's
// journal, as they are durable, and dead owners without copies.
func (h *Holder) RemoveDurable(pending []EncodedRecord) {
	isPending := make(map[EncodedRecord]bool, len(pending))
	for _, record := range pending {
		isPending[record] = true
	}
	for incarnation, o := range h.owners {
		for record, held := range o.copies {
			if held.adopted && !isPending[record] {
				h.remove(o, record)
			}
		}
		if len(o.copies) == 0 && (o.absent || h.superseded(incarnation)) {
			delete(h.owners, incarnation)
		}
	}
}

// superseded reports whether a later incarnation of the same router is known.
func (h *Holder) superseded(incarnation Incarnation) bool {
	for other := range h.owners {
		if other.Router == incarnation.Router && other.Start > incarnation.Start {
			return true
		}
	}
	return false
}

// Size returns the number of copies held and their total size in bytes.
func (h *Holder) Size() (records, bytes int) {
	return h.records, h.bytes
}

func (h *Holder) remove(o *owner, record EncodedRecord) {
	delete(o.copies, record)
	h.records--
	h.bytes -= len(record)
}
