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

// maxSegmentBytes limits the records of a segment before compression, so that the
// object stays within the platform's limit even if the records don't compress.
const maxSegmentBytes = plat.MaxValueBytes - 64<<10

// compressMinBytes is the smallest segment that is compressed. Below it, the
// compressor's memory outweighs the bytes saved.
const compressMinBytes = 4 << 10

// maxExpandedBytes limits the decompressed size of a stored segment.
const maxExpandedBytes = 2 * plat.MaxValueBytes

// encodeBatch encodes a batch from its encoded records.
func encodeBatch(b Batch, encoded [][]byte) []byte {
	size := 128
	for _, r := range encoded {
		size += len(r) + 1
	}
	text := make([]byte, 0, size)
	nonce, _ := json.Marshal(b.Nonce) // can't fail for a string
	text = fmt.Appendf(text, `{"sequence":%d,"nonce":%s,"base":%d,"records":[`, b.Sequence, nonce, b.Base)
	for i, r := range encoded {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, r...)
	}
	return append(text, "]}"...)
}

// encodeSegments encodes records into as many compressed objects as necessary.
// The header has their sequence and nonce; base is the version of the manifest
// that they follow.
func encodeSegments(key plat.Key, records []Record, header Batch, base plat.Version) ([]segment, error) {
	header.Base = base
	var all []segment
	var encoded [][]byte
	size := 0
	flush := func() error {
		value, err := compress(encodeBatch(header, encoded))
		if err != nil {
			return err
		}
		all = append(all, segment{key: key + plat.Key(fmt.Sprintf("-%d", len(all))), value: value})
		encoded, size = nil, 0
		return nil
	}
	for _, r := range records {
		text, err := EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		if size+len(text) > maxSegmentBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		encoded = append(encoded, text)
		size += len(text) + 1
	}
	if len(encoded) == 0 {
		return all, nil
	}
	err := flush()
	return all, err
}

// decodeBatch decodes a batch or segment, compressed or not.
func decodeBatch(value []byte) (Batch, error) {
	text, err := decompress(value)
	if err != nil {
		return Batch{}, fmt.Errorf("decompress batch: %w", err)
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
	text, _ := json.Marshal(m) // can't fail for strings and numbers
	return text
}

func decodeManifest(text []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, fmt.Errorf("decode checkpoint manifest: %w", err)
	}
	return m, nil
}

func compress(text []byte) ([]byte, error) {
	if len(text) < compressMinBytes {
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

// decompress reverses compress and returns uncompressed JSON unchanged.
func decompress(value []byte) ([]byte, error) {
	if len(value) > 0 && value[0] == '{' {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("segment is neither JSON nor gzip: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxExpandedBytes))
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
