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

// PlatformLimits are the call rate limits of the real platform.
var PlatformLimits = Limits{Writes: 400, Reads: 2000}

// errLimited is the ErrUnavailable of a call above the rate limit.
var errLimited = fmt.Errorf("call rate is used up: %w", plat.ErrUnavailable)

// errTooLarge means that a value exceeds the platform's size limit.
var errTooLarge = fmt.Errorf("value is over %d bytes: store it in parts", plat.MaxValueBytes)

// Limits are call rate limits in calls per second; 0 means no limit.
type Limits struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

// StoreFaults are the faults that a store can inject. The zero value injects none.
type StoreFaults struct {
	Down         bool    `json:"down"`  // all calls fail without effect
	CallDelay    Delay   `json:"slow"`  // added to each call before it takes effect
	LostReplies  int     `json:"lose"`  // number of next writes that take effect but whose reply is lost
	LostShare    float64 `json:"share"` // share of all writes with that fault, evenly spread
	StaleWatches bool    `json:"stale"` // watches report no changes
	InstanceLag  Delay   `json:"lag"`   // age of the list of instances
}

// Store is an in-memory platform. It implements plat.Platform and is safe for
// concurrent use.
type Store struct {
	mutex        sync.Mutex
	now          func() time.Time
	faults       StoreFaults
	limits       Limits
	writes       *rate.Limiter
	reads        *rate.Limiter
	last         plat.Version
	objects      map[plat.Key]plat.Change
	log          []logEntry
	changed      chan struct{} // closed and replaced at each change
	instances    instanceLog
	counts       map[countKey]CallCount
	lostShareSum float64 // running sum of StoreFaults.LostShare, below 1
}

// logEntry is one update; the log is ordered by version.
type logEntry struct {
	version plat.Version
	key     plat.Key
}

var _ plat.Platform = (*Store)(nil)

// NewStore returns an empty store without faults and call limits, which uses now
// as its clock.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:       now,
		writes:    rate.NewLimiter(rate.Inf, 0),
		reads:     rate.NewLimiter(rate.Inf, 0),
		objects:   make(map[plat.Key]plat.Change),
		changed:   make(chan struct{}),
		instances: newInstanceLog(),
		counts:    make(map[countKey]CallCount),
	}
}

// Faults returns the current faults, with LostReplies counted down.
func (s *Store) Faults() StoreFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults and wakes waiting watches.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wakeWatches()
}

// SetLimits replaces the call limits. Each allows a burst of one second's calls.
func (s *Store) SetLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = limits
	s.writes = newLimiter(limits.Writes)
	s.reads = newLimiter(limits.Reads)
}

// Get returns an object, or plat.ErrNotFound.
func (s *Store) Get(ctx context.Context, class plat.Class, key plat.Key) (plat.Object, error) {
	if err := s.beginCall(ctx, KindGet, class, 0); err != nil {
		return plat.Object{}, fmt.Errorf("getting %q: %w", key, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.objects[key]
	if !ok || found.Object.Version == 0 {
		return plat.Object{}, fmt.Errorf("getting %q: %w", key, plat.ErrNotFound)
	}
	s.addBytes(KindGet, class, len(found.Object.Value))
	return cloneObject(found.Object), nil
}

// List returns all objects whose key begins with prefix, sorted by key.
func (s *Store) List(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, error) {
	if err := s.beginCall(ctx, KindList, class, 0); err != nil {
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
		found = append(found, cloneObject(c.Object))
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Put stores value if the object's version is expect.
func (s *Store) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	if len(value) > plat.MaxValueBytes {
		return 0, fmt.Errorf("putting %q: %w", key, errTooLarge)
	}
	if err := s.beginCall(ctx, KindPut, class, len(value)); err != nil {
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
	if err := s.beginCall(ctx, KindDelete, class, 0); err != nil {
		return fmt.Errorf("deleting %q: %w", key, err)
	}
	if _, err := s.write(key, nil, expect, true); err != nil {
		return fmt.Errorf("deleting %q: %w", key, err)
	}
	return nil
}

// write performs a conditional update and determines whether its reply is lost.
func (s *Store) write(key plat.Key, value []byte, expect plat.Version, remove bool) (plat.Version, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.objects[key].Object.Version
	if current != expect {
		return 0, fmt.Errorf("expected version %d, found %d: %w", expect, current, plat.ErrConflict)
	}
	if remove && current == 0 {
		return 0, plat.ErrNotFound
	}
	s.last++
	change := plat.Change{Object: plat.Object{Key: key, Version: s.last, Value: value}, At: s.last}
	if remove {
		change.Object = plat.Object{Key: key}
	}
	s.objects[key] = change
	s.log = append(s.log, logEntry{version: s.last, key: key})
	s.compact()
	s.wakeWatches()
	if s.losesReply() {
		return 0, plat.ErrUncertain
	}
	return s.last, nil
}

// losesReply reports whether the reply to the current write is lost.
func (s *Store) losesReply() bool {
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return true
	}
	s.lostShareSum += s.faults.LostShare
	if s.lostShareSum < 1 {
		return false
	}
	s.lostShareSum--
	return true
}

// compact removes log entries that are superseded by later updates of the same
// key.
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

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts and delays a call, and returns an error if the store is down or
// the call exceeds the rate limit.
func (s *Store) beginCall(ctx context.Context, kind CallKind, class plat.Class, bytes int) error {
	s.mutex.Lock()
	delay := time.Duration(s.faults.CallDelay)
	s.addCall(kind, class, bytes)
	s.mutex.Unlock()
	if err := sleep(ctx, delay); err != nil {
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

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
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

func cloneObject(object plat.Object) plat.Object {
	object.Value = append([]byte{}, object.Value...)
	return object
}
