package shard

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// segmentBytes bounds the records of a segment before compression, so that its
// object stays below the platform's limit even if nothing can be compressed.
const segmentBytes = plat.MaxValueBytes - 64<<10

// compressFrom is the length from which a segment is compressed, in bytes. The
// compressor's own memory outweighs the gain on shorter ones.
const compressFrom = 4 << 10

// segmentLimit bounds what a stored segment expands to, in bytes.
const segmentLimit = 2 * plat.MaxValueBytes

// joinBatch encodes a batch out of its encoded records.
func joinBatch(b Batch, texts [][]byte) []byte {
	size := 128
	for _, t := range texts {
		size += len(t) + 1
	}
	text := make([]byte, 0, size)
	nonce, _ := json.Marshal(b.Nonce) // a string
	text = fmt.Appendf(text, `{"sequence":%d,"nonce":%s,"base":%d,"records":[`, b.Sequence, nonce, b.Base)
	for i, t := range texts {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, t...)
	}
	return append(text, "]}"...)
}

// segments encodes records into as many compressed objects as they need. The
// head gives the sequence and nonce; base is the manifest they follow.
func segments(key plat.Key, records []Record, head Batch, base plat.Version) ([]segment, error) {
	head.Base = base
	var all []segment
	var texts [][]byte
	size := 0
	flush := func() error {
		value, err := compress(joinBatch(head, texts))
		if err != nil {
			return err
		}
		all = append(all, segment{key: key + plat.Key(fmt.Sprintf("-%d", len(all))), value: value})
		texts, size = nil, 0
		return nil
	}
	for _, r := range records {
		text, err := EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		if size+len(text) > segmentBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		texts = append(texts, text)
		size += len(text) + 1
	}
	if len(texts) == 0 {
		return all, nil
	}
	err := flush()
	return all, err
}

// decodeBatch reads a batch or segment, compressed or not.
func decodeBatch(value []byte) (Batch, error) {
	text, err := expand(value)
	if err != nil {
		return Batch{}, fmt.Errorf("expand batch: %w", err)
	}
	var w wireBatch
	if err := json.Unmarshal(text, &w); err != nil {
		return Batch{}, fmt.Errorf("decode batch: %w", err)
	}
	b := Batch{Sequence: w.Sequence, Nonce: w.Nonce, Base: w.Base, Records: make([]Record, 0, len(w.Records))}
	for _, r := range w.Records {
		record, err := r.unwrap()
		if err != nil {
			return Batch{}, fmt.Errorf("batch %d: %w", w.Sequence, err)
		}
		b.Records = append(b.Records, record)
	}
	return b, nil
}

func encodeManifest(m Manifest) []byte {
	text, _ := json.Marshal(m) // strings and numbers only
	return text
}

func decodeManifest(text []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, fmt.Errorf("decode checkpoint: %w", err)
	}
	return m, nil
}

func compress(text []byte) ([]byte, error) {
	if len(text) < compressFrom {
		return text, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress segment: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("compress segment: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress segment: %w", err)
	}
	return b.Bytes(), nil
}

// expand undoes compress, and hands on text that was not compressed.
func expand(value []byte) ([]byte, error) {
	if len(value) > 0 && value[0] == '{' {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("segment is not compressed text: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, segmentLimit))
	if err != nil {
		return nil, fmt.Errorf("read compressed segment: %w", err)
	}
	return text, nil
}

func sortParts(parts []Part) {
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Compare(a.Key, b.Key)
	})
}
