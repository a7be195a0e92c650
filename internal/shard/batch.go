package shard

import (
	"encoding/json"
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Sequence is the number of a batch in a shard's log, starting at 1.
type Sequence uint64

// Batch is a group of records that is committed with one conditional write.
type Batch struct {
	Sequence Sequence
	Nonce    Nonce        // identifies the write
	Base     plat.Version // of a part: the manifest version that it was written to follow
	Records  []Record
}

// wireBatch is the stored encoding of a batch.
type wireBatch struct {
	Sequence Sequence     `json:"sequence"`
	Nonce    Nonce        `json:"nonce"`
	Base     plat.Version `json:"base,omitempty"`
	Records  []wireRecord `json:"records"`
}

// wireRecord has one record, in the field of its type.
type wireRecord struct {
	Claim   *Claim   `json:"claim,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
	Release *Release `json:"release,omitempty"`
	Bill    *Bill    `json:"bill,omitempty"`
	Bind    *Binding `json:"bind,omitempty"`
}

// wireResult has one result, in the field of its type.
type wireResult struct {
	Granted     *Granted     `json:"granted,omitempty"`
	Taken       *Taken       `json:"taken,omitempty"`
	Released    *Released    `json:"released,omitempty"`
	Durable     *Durable     `json:"durable,omitempty"`
	Bound       *Bound       `json:"bound,omitempty"`
	Unavailable *Unavailable `json:"unavailable,omitempty"`
	Queued      *Queued      `json:"queued,omitempty"`
}

// EncodeRecord encodes a record for storage and for peers.
func EncodeRecord(record Record) ([]byte, error) {
	text, err := json.Marshal(wrapRecord(record))
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return text, nil
}

// DecodeRecord decodes the output of EncodeRecord.
func DecodeRecord(text []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return w.unwrap()
}

// encodeChecked encodes a record and returns an error if the encoding can't be
// decoded, because such a record would fail every later load of the shard.
func encodeChecked(record Record) ([]byte, error) {
	text, err := EncodeRecord(record)
	if err != nil {
		return nil, err
	}
	_, err = DecodeRecord(text)
	return text, err
}

// EncodeResult encodes a result for peers.
func EncodeResult(result Result) ([]byte, error) {
	text, err := json.Marshal(wrapResult(result))
	if err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	return text, nil
}

// DecodeResult decodes the output of EncodeResult.
func DecodeResult(text []byte) (Result, error) {
	var w wireResult
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return w.unwrap()
}

func wrapRecord(record Record) wireRecord {
	switch r := record.(type) {
	case Claim:
		return wireRecord{Claim: &r}
	case Outcome:
		return wireRecord{Outcome: &r}
	case Release:
		return wireRecord{Release: &r}
	case Bill:
		return wireRecord{Bill: &r}
	case Binding:
		return wireRecord{Bind: &r}
	default:
		return wireRecord{}
	}
}

func (w wireRecord) unwrap() (Record, error) {
	switch {
	case w.Claim != nil:
		return *w.Claim, nil
	case w.Outcome != nil:
		return *w.Outcome, nil
	case w.Release != nil:
		return *w.Release, nil
	case w.Bill != nil:
		return *w.Bill, nil
	case w.Bind != nil:
		return *w.Bind, nil
	default:
		return nil, fmt.Errorf("record is of no known kind, its writer may be newer")
	}
}

func wrapResult(result Result) wireResult {
	switch r := result.(type) {
	case Granted:
		return wireResult{Granted: &r}
	case Taken:
		return wireResult{Taken: &r}
	case Released:
		return wireResult{Released: &r}
	case Durable:
		return wireResult{Durable: &r}
	case Bound:
		return wireResult{Bound: &r}
	case Unavailable:
		return wireResult{Unavailable: &r}
	case Queued:
		return wireResult{Queued: &r}
	default:
		return wireResult{}
	}
}

func (w wireResult) unwrap() (Result, error) {
	switch {
	case w.Granted != nil:
		return *w.Granted, nil
	case w.Taken != nil:
		return *w.Taken, nil
	case w.Released != nil:
		return *w.Released, nil
	case w.Durable != nil:
		return *w.Durable, nil
	case w.Bound != nil:
		return *w.Bound, nil
	case w.Unavailable != nil:
		return *w.Unavailable, nil
	case w.Queued != nil:
		return *w.Queued, nil
	default:
		return nil, fmt.Errorf("result is of no known kind, its writer may be newer")
	}
}
