package shard

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// A new full part replaces the full part and the deltas after it once there
	// are maxDeltas, or at least minDeltas that together are larger than it.
	minDeltas = 4
	maxDeltas = 16
)

// Manifest is the value of a shard's checkpoint object. Applying its parts in
// order gives the state up to and including the batch Covers.
type Manifest struct {
	Covers Sequence `json:"covers"`
	Nonce  Nonce    `json:"nonce"`
	Parts  []Part   `json:"parts"`
}

// Part refers to an immutable object that holds a sequence of records.
type Part struct {
	Key     plat.Key     `json:"key"`
	Version plat.Version `json:"version"`
	Bytes   int          `json:"bytes"`
	Full    bool         `json:"full"` // holds the whole state, not only a few batches
}

// checkpoint copies batches into parts, so that their ring slots can be reused.
// It first writes the bills and parts, then a manifest that refers to them.
type checkpoint struct {
	manifest Manifest
	version  plat.Version
	stage    stage
	call     CallID
	retryAt  time.Time
	base     plat.Version // of the manifest that target replaces
	target   Manifest
	pending  []segment // still to be written
	orphans  []Part    // listed, but in no manifest
}

// stage is the current step of a checkpoint.
type stage int

const (
	stageNone stage = iota
	stageSegments
	stageManifest
	stageVerify
)

// segment is an immutable object that is to be written.
type segment struct {
	key   plat.Key
	value []byte
	part  bool // holds records of a part, not bills
	full  bool // as Part.Full
}

// startCheckpoint begins a checkpoint once half of the ring is used.
func (l *Log) startCheckpoint(now time.Time) {
	c := &l.checkpoint
	if c.stage != stageNone || len(l.tail) < len(l.slots)/2 || now.Before(c.retryAt) {
		return
	}
	nonce := l.nonce()
	last := l.next - 1
	full := c.manifest.needsFullPart()
	records := tailRecords(l.tail)
	c.base = c.version
	c.target = Manifest{Covers: last, Nonce: nonce}
	if full {
		l.state.Expire(now, l.settings)
		records = l.state.Records()
	} else {
		c.target.Parts = append(c.target.Parts, c.manifest.Parts...)
	}
	bills, err := encodeSegments(l.shard.billKey(last, nonce), tailBills(l.tail), Batch{Sequence: last, Nonce: nonce}, 0)
	if err != nil {
		c.retryAt = now.Add(l.settings.RetryDelay)
		return
	}
	parts, err := encodeSegments(l.shard.partKey(last, nonce), records, Batch{Sequence: last, Nonce: nonce}, c.base)
	if err != nil {
		c.retryAt = now.Add(l.settings.RetryDelay)
		return
	}
	for i := range parts {
		parts[i].part, parts[i].full = true, full
	}
	c.pending = append(bills, parts...)
	l.writeNextObject()
}

// writeNextObject writes the next object of the checkpoint, and the manifest last.
func (l *Log) writeNextObject() {
	c := &l.checkpoint
	c.call = l.newCall()
	write := WriteObject{Call: c.call, Class: plat.ClassBill}
	if len(c.pending) > 0 {
		c.stage = stageSegments
		write.Key, write.Value = c.pending[0].key, c.pending[0].value
	} else {
		c.stage = stageManifest
		write.Key, write.Value = l.shard.manifestKey(), encodeManifest(c.target)
		write.Expect = c.base
	}
	l.counts.Bytes += len(write.Value)
	l.emit(write)
}

func (l *Log) handleCheckpointWrite(now time.Time, e WriteDone) {
	c := &l.checkpoint
	if e.Call != c.call {
		return
	}
	switch c.stage {
	case stageSegments:
		if e.Err != nil {
			l.abortCheckpoint(now)
			return
		}
		if s := c.pending[0]; s.part {
			c.target.Parts = append(c.target.Parts, Part{Key: s.key, Version: e.Version, Bytes: len(s.value), Full: s.full})
		}
		c.pending = c.pending[1:]
		l.writeNextObject()
	case stageManifest:
		l.handleManifestWrite(now, e)
	}
}

func (l *Log) handleManifestWrite(now time.Time, e WriteDone) {
	c := &l.checkpoint
	switch {
	case e.Err == nil:
		l.finishCheckpoint(e.Version)
	case errors.Is(e.Err, plat.ErrConflict), errors.Is(e.Err, plat.ErrUncertain):
		c.stage = stageVerify
		c.call = l.newCall()
		l.emit(ReadObject{Call: c.call, Class: plat.ClassBill, Key: l.shard.manifestKey()})
	default:
		l.abortCheckpoint(now)
	}
}

// handleCheckpointRead determines whose manifest is stored.
func (l *Log) handleCheckpointRead(now time.Time, e ReadDone) {
	c := &l.checkpoint
	if e.Call != c.call || c.stage != stageVerify {
		return
	}
	found, err := decodeManifest(e.Object.Value)
	switch {
	case e.Err != nil || err != nil:
		l.abortCheckpoint(now)
	case found.Nonce == c.target.Nonce:
		l.finishCheckpoint(e.Object.Version)
	case found.Covers >= l.next:
		l.loaded = false
		l.abortCheckpoint(now)
	default:
		l.applyManifest(found, e.Object.Version)
		l.abortCheckpoint(now)
	}
}

func (l *Log) finishCheckpoint(version plat.Version) {
	c := &l.checkpoint
	c.stage = stageNone
	if version <= c.version {
		return // a later manifest has been loaded in the meantime
	}
	l.counts.Checkpoints++
	unreferenced := append(c.orphans, c.manifest.partsReplacedBy(c.target)...)
	c.orphans = nil
	for _, p := range unreferenced {
		l.emit(DeleteObject{Key: p.Key, Expect: p.Version})
	}
	l.applyManifest(c.target, version)
}

func (l *Log) applyManifest(m Manifest, version plat.Version) {
	if version <= l.checkpoint.version {
		return
	}
	l.checkpoint.manifest, l.checkpoint.version = m, version
	l.trim(m.Covers)
}

func (l *Log) abortCheckpoint(now time.Time) {
	l.checkpoint.stage = stageNone
	l.checkpoint.pending = nil
	l.checkpoint.retryAt = now.Add(l.settings.RetryDelay)
}

// trim removes the batches covered by a checkpoint, and their bills.
func (l *Log) trim(covers Sequence) {
	n := 0
	for n < len(l.tail) && l.tail[n].Sequence <= covers {
		l.state.removeBills(l.tail[n])
		n++
	}
	l.tail = append([]Batch(nil), l.tail[n:]...)
}

// needsFullPart reports whether the next checkpoint should store the whole state.
func (m Manifest) needsFullPart() bool {
	deltas, deltaBytes, fullBytes := 0, 0, 0
	for _, p := range m.Parts {
		if p.Full {
			fullBytes += p.Bytes
			continue
		}
		deltas++
		deltaBytes += p.Bytes
	}
	return deltas >= maxDeltas || deltas >= minDeltas && deltaBytes > fullBytes
}

// partsReplacedBy returns the parts of m that next does not refer to.
func (m Manifest) partsReplacedBy(next Manifest) []Part {
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

func (i ID) partKey(last Sequence, nonce Nonce) plat.Key {
	return i.Prefix() + plat.Key(fmt.Sprintf("part/%012d-%s", last, nonce))
}

func (i ID) billKey(last Sequence, nonce Nonce) plat.Key {
	return billPrefix + plat.Key(fmt.Sprintf("%04d/%012d-%s", int(i), last, nonce))
}
