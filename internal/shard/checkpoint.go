package shard

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// minDeltas and maxDeltas bound the parts that lie on top of a full one
	// before all are folded into a new full one.
	minDeltas = 4
	maxDeltas = 16
)

// Manifest is the value of a shard's checkpoint object. It names the parts
// whose fold, in order, is the state up to and with the batch Covers.
type Manifest struct {
	Covers Sequence `json:"covers"`
	Nonce  Nonce    `json:"nonce"`
	Parts  []Part   `json:"parts"`
}

// Part refers to an immutable object that holds a run of records.
type Part struct {
	Key     plat.Key     `json:"key"`
	Version plat.Version `json:"version"`
	Bytes   int          `json:"bytes"`
	Full    bool         `json:"full"` // folded from the whole state, not from a few batches
}

// checkpoint folds batches into parts, so that their slots can be reused. It
// first writes the bills and parts, then moves the manifest to them.
type checkpoint struct {
	manifest Manifest
	version  plat.Version
	stage    stage
	call     CallID
	retry    time.Time
	base     plat.Version // of the manifest that target follows
	target   Manifest
	objects  []segment // still to be written
	orphans  []Part    // listed, but part of no manifest
}

// stage is the step of a checkpoint that is under way.
type stage int

const (
	stageNone stage = iota
	stageSegments
	stageManifest
	stageVerify
)

// segment is an immutable object that is about to be written.
type segment struct {
	key   plat.Key
	value []byte
	part  bool
	full  bool
}

// startCheckpoint begins to fold once half of the ring is used.
func (l *Log) startCheckpoint(now time.Time) {
	c := &l.check
	if c.stage != stageNone || len(l.tail) < len(l.slots)/2 || now.Before(c.retry) {
		return
	}
	nonce := l.nonce()
	upto := l.next - 1
	full := c.manifest.wantsFull()
	records := tailRecords(l.tail)
	c.base = c.version
	c.target = Manifest{Covers: upto, Nonce: nonce}
	if full {
		l.state.Expire(now, l.settings)
		records = l.state.Records()
	} else {
		c.target.Parts = append(c.target.Parts, c.manifest.Parts...)
	}
	bills, err := segments(l.shard.billKey(upto, nonce), tailBills(l.tail), Batch{Sequence: upto, Nonce: nonce}, 0)
	if err != nil {
		c.retry = now.Add(l.settings.RetryDelay)
		return
	}
	parts, err := segments(l.shard.partKey(upto, nonce), records, Batch{Sequence: upto, Nonce: nonce}, c.base)
	if err != nil {
		c.retry = now.Add(l.settings.RetryDelay)
		return
	}
	for i := range parts {
		parts[i].part, parts[i].full = true, full
	}
	c.objects = append(bills, parts...)
	l.nextSegment()
}

// nextSegment writes the next object of the checkpoint, at last the manifest.
func (l *Log) nextSegment() {
	c := &l.check
	c.call = l.newCall()
	write := WriteObject{Call: c.call, Class: plat.ClassBill}
	if len(c.objects) > 0 {
		c.stage = stageSegments
		write.Key, write.Value = c.objects[0].key, c.objects[0].value
	} else {
		c.stage = stageManifest
		write.Key, write.Value = l.shard.manifestKey(), encodeManifest(c.target)
		write.Expect = c.base
	}
	l.counts.Bytes += len(write.Value)
	l.act(write)
}

func (l *Log) checkpointPut(now time.Time, e WriteDone) {
	c := &l.check
	if e.Call != c.call {
		return
	}
	switch c.stage {
	case stageSegments:
		if e.Err != nil {
			l.dropCheckpoint(now)
			return
		}
		if s := c.objects[0]; s.part {
			c.target.Parts = append(c.target.Parts, Part{Key: s.key, Version: e.Version, Bytes: len(s.value), Full: s.full})
		}
		c.objects = c.objects[1:]
		l.nextSegment()
	case stageManifest:
		l.manifestPut(now, e)
	}
}

func (l *Log) manifestPut(now time.Time, e WriteDone) {
	c := &l.check
	switch {
	case e.Err == nil:
		l.finishCheckpoint(e.Version)
	case errors.Is(e.Err, plat.ErrConflict), errors.Is(e.Err, plat.ErrUncertain):
		c.stage = stageVerify
		c.call = l.newCall()
		l.act(ReadObject{Call: c.call, Class: plat.ClassBill, Key: l.shard.manifestKey()})
	default:
		l.dropCheckpoint(now)
	}
}

// checkpointGot finds out whose manifest is in place.
func (l *Log) checkpointGot(now time.Time, e ReadDone) {
	c := &l.check
	if e.Call != c.call || c.stage != stageVerify {
		return
	}
	found, err := decodeManifest(e.Object.Value)
	switch {
	case e.Err != nil || err != nil:
		l.dropCheckpoint(now)
	case found.Nonce == c.target.Nonce:
		l.finishCheckpoint(e.Object.Version)
	case found.Covers >= l.next:
		l.loaded = false
		l.dropCheckpoint(now)
	default:
		l.adoptManifest(found, e.Object.Version)
		l.dropCheckpoint(now)
	}
}

func (l *Log) finishCheckpoint(version plat.Version) {
	c := &l.check
	c.stage = stageNone
	if version <= c.version {
		return // a later manifest has been loaded meanwhile
	}
	l.counts.Checkpoints++
	stale := append(c.orphans, c.manifest.dropped(c.target)...)
	c.orphans = nil
	for _, p := range stale {
		l.act(DeleteObject{Key: p.Key, Expect: p.Version})
	}
	l.adoptManifest(c.target, version)
}

func (l *Log) adoptManifest(m Manifest, version plat.Version) {
	if version <= l.check.version {
		return
	}
	l.check.manifest, l.check.version = m, version
	l.trim(m.Covers)
}

func (l *Log) dropCheckpoint(now time.Time) {
	l.check.stage = stageNone
	l.check.objects = nil
	l.check.retry = now.Add(l.settings.RetryDelay)
}

// trim forgets the batches that a checkpoint covers, and their bills.
func (l *Log) trim(covers Sequence) {
	n := 0
	for n < len(l.tail) && l.tail[n].Sequence <= covers {
		l.state.forgetBills(l.tail[n])
		n++
	}
	l.tail = append([]Batch(nil), l.tail[n:]...)
}

// wantsFull tells whether the parts on top have outgrown the full ones.
func (m Manifest) wantsFull() bool {
	deltas, size, base := 0, 0, 0
	for _, p := range m.Parts {
		if p.Full {
			base += p.Bytes
			continue
		}
		deltas++
		size += p.Bytes
	}
	return deltas >= maxDeltas || deltas >= minDeltas && size > base
}

// dropped gives the parts that next no longer names.
func (m Manifest) dropped(next Manifest) []Part {
	kept := map[plat.Key]bool{}
	for _, p := range next.Parts {
		kept[p.Key] = true
	}
	var parts []Part
	for _, p := range m.Parts {
		if !kept[p.Key] {
			parts = append(parts, p)
		}
	}
	return parts
}

func tailRecords(tail []Batch) []Record {
	var records []Record
	for _, b := range tail {
		for _, r := range b.Records {
			if _, bill := r.(Bill); !bill {
				records = append(records, r)
			}
		}
	}
	return records
}

func tailBills(tail []Batch) []Record {
	var records []Record
	for _, b := range tail {
		for _, r := range b.Records {
			if _, bill := r.(Bill); bill {
				records = append(records, r)
			}
		}
	}
	return records
}

func (i ID) ringKey(slot int) plat.Key {
	return i.Prefix() + plat.Key(fmt.Sprintf("ring/%04d", slot))
}

func (i ID) manifestKey() plat.Key {
	return i.Prefix() + "checkpoint"
}

func (i ID) partKey(upto Sequence, nonce Nonce) plat.Key {
	return i.Prefix() + plat.Key(fmt.Sprintf("part/%012d-%s", upto, nonce))
}

func (i ID) billKey(upto Sequence, nonce Nonce) plat.Key {
	return billPrefix + plat.Key(fmt.Sprintf("%04d/%012d-%s", int(i), upto, nonce))
}
