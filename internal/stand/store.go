package stand

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// PlatformLimits are the call rates that the real platform allows.
var PlatformLimits = Limits{Writes: 400, Reads: 2000}

// errLimited is an ErrUnavailable that came of a call rate.
var errLimited = fmt.Errorf("call rate is used up: %w", plat.ErrUnavailable)

// errTooLarge refuses a value that the platform could not hold.
var errTooLarge = fmt.Errorf("value is over %d bytes: store it in parts", plat.MaxValueBytes)

// Limits are call rates in calls a second; 0 stands for no limit.
type Limits struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

// Faults are the store's switchable faults. The zero value is a healthy store.
type StoreFaults struct {
	Down         bool    `json:"down"`  // no call has effect
	CallDelay    Delay   `json:"slow"`  // added to each call before its effect
	LostReplies  int     `json:"lose"`  // this many next writes take effect and lose their answer
	LostShare    float64 `json:"share"` // of all writes that do so, evenly spread
	StaleWatches bool    `json:"stale"` // watches report no change
	InstanceLag  Delay   `json:"lag"`   // of the list of instances
}

// Store is an in-memory platform. It implements plat.Platform, and is safe for
// concurrent use.
type Store struct {
	mutex   sync.Mutex
	now     func() time.Time
	faults  StoreFaults
	limits  Limits
	writes  *rate.Limiter
	reads   *rate.Limiter
	last    plat.Version
	objects map[plat.Key]plat.Change
	log     []entry
	changed chan struct{} // closed and replaced at each change
	roster  roster
	counts  map[countKey]CallCount
	share   float64 // sum of Faults.Share over the writes so far, below 1
}

// entry is one update in the order of versions.
type entry struct {
	version plat.Version
	key     plat.Key
}

var _ plat.Platform = (*Store)(nil)

// NewStore gives an empty, healthy store without call limits, which takes the
// time from now.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:     now,
		writes:  rate.NewLimiter(rate.Inf, 0),
		reads:   rate.NewLimiter(rate.Inf, 0),
		objects: make(map[plat.Key]plat.Change),
		changed: make(chan struct{}),
		roster:  newRoster(),
		counts:  make(map[countKey]CallCount),
	}
}

// Faults gives the faults now in force, with Lose counted down.
func (s *Store) Faults() StoreFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults and wakes the waiting watches.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// SetLimits replaces the call limits; each allows a burst of one second.
func (s *Store) SetLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = limits
	s.writes = newLimiter(limits.Writes)
	s.reads = newLimiter(limits.Reads)
}

// Get reads an object, or fails with ErrAbsent.
func (s *Store) Get(ctx context.Context, class plat.Class, key plat.Key) (plat.Object, error) {
	if err := s.begin(ctx, KindGet, class, 0); err != nil {
		return plat.Object{}, fmt.Errorf("getting %q: %w", key, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.objects[key]
	if !ok || found.Object.Version == 0 {
		return plat.Object{}, fmt.Errorf("getting %q: %w", key, plat.ErrNotFound)
	}
	s.addBytes(KindGet, class, len(found.Object.Value))
	return clone(found.Object), nil
}

// List reads all objects whose key begins with prefix, sorted by key.
func (s *Store) List(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, error) {
	if err := s.begin(ctx, KindList, class, 0); err != nil {
		return nil, fmt.Errorf("listing %q: %w", prefix, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []plat.Object
	for k, c := range s.objects {
		if c.Object.Version == 0 || !strings.HasPrefix(string(k), string(prefix)) {
			continue
		}
		s.addBytes(KindList, class, len(c.Object.Value))
		found = append(found, clone(c.Object))
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Put writes value if the object's version is expect.
func (s *Store) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	if len(value) > plat.MaxValueBytes {
		return 0, fmt.Errorf("putting %q: %w", key, errTooLarge)
	}
	if err := s.begin(ctx, KindPut, class, len(value)); err != nil {
		return 0, fmt.Errorf("putting %q: %w", key, err)
	}
	version, err := s.write(key, append([]byte{}, value...), expect, false)
	if err != nil {
		return 0, fmt.Errorf("putting %q: %w", key, err)
	}
	return version, nil
}

// Delete removes the object if its version is expect.
func (s *Store) Delete(ctx context.Context, class plat.Class, key plat.Key, expect plat.Version) error {
	if err := s.begin(ctx, KindDelete, class, 0); err != nil {
		return fmt.Errorf("deleting %q: %w", key, err)
	}
	if _, err := s.write(key, nil, expect, true); err != nil {
		return fmt.Errorf("deleting %q: %w", key, err)
	}
	return nil
}

// write makes one conditional update and decides whether its answer is lost.
func (s *Store) write(key plat.Key, value []byte, expect plat.Version, remove bool) (plat.Version, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.objects[key].Object.Version
	if held != expect {
		return 0, fmt.Errorf("expected version %d, found %d: %w", expect, held, plat.ErrConflict)
	}
	if remove && held == 0 {
		return 0, plat.ErrNotFound
	}
	s.last++
	change := plat.Change{Object: plat.Object{Key: key, Version: s.last, Value: value}, At: s.last}
	if remove {
		change.Object = plat.Object{Key: key}
	}
	s.objects[key] = change
	s.log = append(s.log, entry{version: s.last, key: key})
	s.compact()
	s.wake()
	if s.loses() {
		return 0, plat.ErrUncertain
	}
	return s.last, nil
}

// loses tells whether the answer to the present write gets lost.
func (s *Store) loses() bool {
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return true
	}
	s.share += s.faults.LostShare
	if s.share < 1 {
		return false
	}
	s.share--
	return true
}

// compact drops log entries that later updates of the same key replaced.
func (s *Store) compact() {
	if len(s.log) < 1024 || len(s.log) < 2*len(s.objects) {
		return
	}
	kept := s.log[:0]
	for _, e := range s.log {
		if s.objects[e.key].At == e.version {
			kept = append(kept, e)
		}
	}
	s.log = kept
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call, delays it and refuses it when it must have no effect.
func (s *Store) begin(ctx context.Context, kind CallKind, class plat.Class, bytes int) error {
	s.mutex.Lock()
	slow := time.Duration(s.faults.CallDelay)
	s.addCall(kind, class, bytes)
	s.mutex.Unlock()
	if err := pause(ctx, slow); err != nil {
		return fmt.Errorf("waiting for the platform: %w: %w", err, plat.ErrUnavailable)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		s.addRefusal(kind, class)
		return plat.ErrUnavailable
	}
	limiter := s.reads
	if kind.writes() {
		limiter = s.writes
	}
	if !limiter.AllowN(s.now(), 1) {
		s.addRefusal(kind, class)
		return errLimited
	}
	return nil
}

// pause waits for d, or fails when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func clone(object plat.Object) plat.Object {
	object.Value = append([]byte{}, object.Value...)
	return object
}
