package syncer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
)

const (
	// refusalPrefix is the key prefix of the one object that holds what is refused since it
	// crashes endpoints, see docs/design/crash-records.md.
	refusalPrefix plat.Key = "crashes/"
	refusalKey             = refusalPrefix + "refused"
	// refusalInterval is the pause between checks for what is to be written.
	refusalInterval = 250 * time.Millisecond
	// refusalSpread is the time over which the readers of the store write the same change,
	// so that one writes it and the others find it written.
	refusalSpread = time.Second
	// refusalExpiryMargin is the time before a refusal expires from which it is not removed
	// from the store any more.
	refusalExpiryMargin = 5 * time.Second
)

// storedRefusals is the spec of the object. Records is JSON in a string, since stores may
// keep numbers as floating point, which does not hold a fingerprint.
type storedRefusals struct {
	WrittenMillis int64  `json:"written_ms"`
	Records       string `json:"records"`
}

// refusalStore is the state of keeping what is refused in the store. Only keepRefusals
// uses it.
type refusalStore struct {
	read      bool     // the object was read since this router's start
	era       plat.Era // of the store when it was read
	stored    map[poison.RefusalKey]time.Time
	notBefore time.Time // of the next call
	pending   bool      // a change waits for notBefore
	settled   bool      // whether all that is refused is stored, as of state
	state     poison.RefusalState
}

// isChanged reports whether something is refused that is not stored, or stored although it
// was freed. What has expired stays until the next write.
func (s *refusalStore) isChanged(now time.Time, refused map[poison.RefusalKey]time.Time) bool {
	for key := range refused {
		if _, known := s.stored[key]; !known {
			return true
		}
	}
	for key, crashed := range s.stored {
		if _, known := refused[key]; !known && now.Sub(crashed) < crashMemory-refusalExpiryMargin {
			return true
		}
	}
	return false
}

// keepRefusals reads what is refused from the store once this router reads the store, and
// writes what is refused since, until ctx ends. Routers that do not read the store leave
// it to those that do, and learn of it by their feeds.
func (c *Controller) keepRefusals(ctx context.Context) {
	s := &refusalStore{}
	for c.readGate.wait(ctx) {
		c.syncRefusals(ctx, c.clock(), s)
		sleep(ctx, refusalInterval)
	}
}

// syncRefusals reads and writes the object if that is due.
func (c *Controller) syncRefusals(ctx context.Context, now time.Time, s *refusalStore) {
	c.cacheLock.Lock()
	era := c.caches[c.codec.Prefixes().Endpoints].revision.Era()
	c.cacheLock.Unlock()
	rewound := s.read && era > s.era
	c.lock.Lock()
	state := poison.RefusalStateOf(now, c.crashes.runs, c.crashes.parts)
	c.lock.Unlock()
	switch {
	case s.read && !rewound && (s.settled && state == s.state || !s.isChanged(now, c.refusals(now).Latest(now))):
		s.pending, s.settled, s.state = false, true, state
		return
	case c.status.down.Load() || now.Before(s.notBefore):
		return
	case s.read && !s.pending:
		s.pending, s.notBefore = true, now.Add(c.refusalDelay())
		return
	}
	s.pending, s.settled = false, false
	if err := c.exchangeRefusals(ctx, s, era); err != nil && ctx.Err() == nil {
		// Whether a write whose answer was lost has taken effect shows when it is read again.
		s.notBefore = c.clock().Add(jitter(maxRetryPause))
		s.pending = true
		c.log.Info("refusals not stored", zap.Error(err))
	}
}

// exchangeRefusals reads the object, merges it into what this router knows, and writes it
// if that differs. The store is of the given era at least.
func (c *Controller) exchangeRefusals(ctx context.Context, s *refusalStore, era plat.Era) error {
	objects, revision, err := c.store.ListWithVersion(ctx, plat.ClassConfig, refusalPrefix)
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return fmt.Errorf("reading what is refused: %w", err)
	}
	now := c.clock()
	s.stored = map[poison.RefusalKey]time.Time{}
	var version plat.Version
	for _, o := range objects {
		if o.Key != refusalKey {
			continue
		}
		version = o.Version
		record, err := c.decodeRefusals(now, o)
		if err != nil {
			c.logUnreadable(o, err) // replaced by the next write
			continue
		}
		s.stored = record.Latest(now)
		if !record.Delta.IsEmpty() {
			c.log.Info("refusals read", zap.Int("refusals", len(record.Refusals)))
			c.mergeCrashes(now, &record.Delta)
		}
	}
	s.read, s.era = true, max(era, revision.Era())
	record := c.refusals(now)
	refused := record.Latest(now)
	if !s.isChanged(now, refused) {
		return nil
	}
	value, err := encodeRefusals(now, record)
	if err != nil {
		return err
	}
	if _, err := c.store.Put(ctx, plat.ClassStatus, refusalKey, value, version); err != nil {
		return fmt.Errorf("writing what is refused: %w", err)
	}
	s.stored = refused
	c.log.Info("refusals stored", zap.Int("refusals", len(refused)))
	return nil
}

// refusals returns what this router refuses.
func (c *Controller) refusals(now time.Time) poison.RefusalRecord {
	c.lock.Lock()
	defer c.lock.Unlock()
	return poison.Refusals(now, c.crashes.runs, c.crashes.parts)
}

// refusalDelay returns the time by which this router's write of a change is delayed.
func (c *Controller) refusalDelay() time.Duration {
	h := xxhash.Sum64String(string(c.settings.Router) + "/" + string(refusalKey))
	return time.Duration(float64(h>>11) / (1 << 53) * float64(refusalSpread))
}

func encodeRefusals(now time.Time, r poison.RefusalRecord) ([]byte, error) {
	records, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encoding refusals: %w", err)
	}
	value, err := json.Marshal(storedRefusals{WrittenMillis: now.UnixMilli(), Records: string(records)})
	if err != nil {
		return nil, fmt.Errorf("encoding refusals: %w", err)
	}
	return value, nil
}

// decodeRefusals decodes the object, as of now.
func (c *Controller) decodeRefusals(now time.Time, o plat.Object) (poison.RefusalRecord, error) {
	var r poison.RefusalRecord
	raw, err := c.codec.Spec(o)
	if err != nil {
		return r, err
	}
	var spec storedRefusals
	if err := json.Unmarshal(raw, &spec); err != nil {
		return r, fmt.Errorf("decoding refusals: %w", err)
	}
	if err := json.Unmarshal([]byte(spec.Records), &r); err != nil {
		return r, fmt.Errorf("decoding refusals: %w", err)
	}
	return r.Later(now.Sub(time.UnixMilli(spec.WrittenMillis))), nil
}
