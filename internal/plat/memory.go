package plat

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is an in-process platform for measurements and tests. It is safe for
// concurrent use.
type Memory struct {
	lock      sync.Mutex
	objects   map[Key]Object
	deleted   map[Key]Version
	instances map[string]Instance
	revision  Version
	changed   chan struct{} // closed and replaced at each change
	fault     func(Call) Fault
	usage     Usage
}

// Call describes a call to a Memory platform.
type Call struct {
	Write bool
	Class Class
	Key   Key // or the prefix
}

// Fault is an injected failure of a call.
type Fault int

// The faults of a call.
const (
	FaultNone        Fault = iota
	FaultUnavailable       // no effect; the call returns ErrUnavailable
	FaultRequestLost       // no effect; a write returns ErrUncertain
	FaultReplyLost         // takes effect; a write returns ErrUncertain
	FaultTimeout           // no effect; returns when ctx ends
)

// Usage counts the calls and bytes that a platform served.
type Usage struct {
	Reads        int
	Writes       int
	BytesWritten int // bytes
	BytesRead    int // bytes
}

var _ Platform = (*Memory)(nil)

// NewMemory returns an empty platform; fault selects the failure of each call.
// With a nil fault every call succeeds.
func NewMemory(fault func(Call) Fault) *Memory {
	return &Memory{
		objects: map[Key]Object{}, deleted: map[Key]Version{}, instances: map[string]Instance{},
		changed: make(chan struct{}), fault: fault,
	}
}

// Usage returns the counts so far.
func (m *Memory) Usage() Usage {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.usage
}

// Get returns an object, or ErrNotFound.
func (m *Memory) Get(ctx context.Context, class Class, key Key) (Object, error) {
	if _, err := m.beginCall(ctx, Call{Class: class, Key: key}); err != nil {
		return Object{}, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	m.usage.BytesRead += len(o.Value)
	return o, nil
}

// List returns all objects whose key begins with prefix, sorted by key.
func (m *Memory) List(ctx context.Context, class Class, prefix Key) ([]Object, error) {
	if _, err := m.beginCall(ctx, Call{Class: class, Key: prefix}); err != nil {
		return nil, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	var objects []Object
	for k, o := range m.objects {
		if strings.HasPrefix(string(k), string(prefix)) {
			m.usage.BytesRead += len(o.Value)
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, nil
}

// Put writes value if the object's version is expect, and returns the new
// version.
func (m *Memory) Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error) {
	after, err := m.beginCall(ctx, Call{Write: true, Class: class, Key: key})
	if err != nil {
		return 0, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.usage.BytesWritten += len(value)
	if m.objects[key].Version != expect {
		return 0, ErrConflict
	}
	m.revision++
	m.objects[key] = Object{Key: key, Version: m.revision, Value: append([]byte(nil), value...)}
	delete(m.deleted, key)
	m.notifyWatchers()
	return m.revision, after
}

// Delete deletes the object if its version is expect.
func (m *Memory) Delete(ctx context.Context, class Class, key Key, expect Version) error {
	after, err := m.beginCall(ctx, Call{Write: true, Class: class, Key: key})
	if err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.objects[key].Version != expect {
		return ErrConflict
	}
	m.revision++
	delete(m.objects, key)
	m.deleted[key] = m.revision
	m.notifyWatchers()
	return after
}

// Watch waits up to wait for changes under prefix that are later than after.
func (m *Memory) Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error) {
	if _, err := m.beginCall(ctx, Call{Class: class, Key: prefix}); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.lock.Lock()
		changes, version, changed := m.changesAfter(prefix, after), m.revision, m.changed
		m.lock.Unlock()
		if len(changes) > 0 {
			return changes, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ErrUnavailable
		case <-timer.C:
			return nil, version, nil
		case <-changed:
		}
	}
}

// Instances returns the announced instances, sorted by ID.
func (m *Memory) Instances(ctx context.Context, class Class) ([]Instance, error) {
	if _, err := m.beginCall(ctx, Call{Class: class}); err != nil {
		return nil, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	var all []Instance
	for _, i := range m.instances {
		all = append(all, i)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all, nil
}

// Announce registers an instance.
func (m *Memory) Announce(ctx context.Context, class Class, instance Instance) error {
	if _, err := m.beginCall(ctx, Call{Write: true, Class: class}); err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.instances[instance.ID] = instance
	return nil
}

// beginCall counts a call and injects its fault. A non-nil after is returned
// once the call has taken effect; a non-nil before prevents the effect.
func (m *Memory) beginCall(ctx context.Context, call Call) (after, before error) {
	m.lock.Lock()
	if call.Write {
		m.usage.Writes++
	} else {
		m.usage.Reads++
	}
	m.lock.Unlock()
	if ctx.Err() != nil {
		return nil, ErrUnavailable
	}
	if m.fault == nil {
		return nil, nil
	}
	switch m.fault(call) {
	case FaultUnavailable:
		return nil, ErrUnavailable
	case FaultRequestLost:
		return nil, lostCallError(call)
	case FaultTimeout:
		<-ctx.Done()
		return nil, lostCallError(call)
	case FaultReplyLost:
		return lostCallError(call), nil
	default:
		return nil, nil
	}
}

func (m *Memory) changesAfter(prefix Key, after Version) []Change {
	var changes []Change
	for k, o := range m.objects {
		if strings.HasPrefix(string(k), string(prefix)) && o.Version > after {
			changes = append(changes, Change{Object: o, At: o.Version})
		}
	}
	for k, v := range m.deleted {
		if strings.HasPrefix(string(k), string(prefix)) && v > after {
			changes = append(changes, Change{Object: Object{Key: k}, At: v})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].At < changes[j].At })
	return changes
}

func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// lostCallError returns the error of a call that got no response.
func lostCallError(call Call) error {
	if call.Write {
		return ErrUncertain
	}
	return ErrUnavailable
}
