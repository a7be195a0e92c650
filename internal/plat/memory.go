package plat

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is a platform within the process, for measurements and tests. It is
// safe for concurrent use.
type Memory struct {
	lock      sync.Mutex
	objects   map[Key]Object
	deleted   map[Key]Version
	instances map[string]Instance
	last      Version
	changed   chan struct{} // closed at the next change
	fault     func(Call) Fault
	usage     Usage
}

// Call describes a call to a Memory platform.
type Call struct {
	Write bool
	Class Class
	Key   Key // or the prefix
}

// Fault is what goes wrong with a call.
type Fault int

// The faults of a call.
const (
	FaultNone     Fault = iota
	FaultDown           // no effect, ErrUnavailable
	FaultLost           // no effect, the write's outcome is uncertain
	FaultUnheard        // takes effect, the write's outcome is uncertain
	FaultTimesOut       // no effect, answers when ctx ends
)

// Usage counts what a platform was asked for.
type Usage struct {
	Reads   int
	Writes  int
	Written int // bytes
	Read    int // bytes
}

var _ Platform = (*Memory)(nil)

// NewMemory makes an empty platform. A nil fault lets every call succeed.
func NewMemory(fault func(Call) Fault) *Memory {
	return &Memory{
		objects: map[Key]Object{}, deleted: map[Key]Version{}, instances: map[string]Instance{},
		changed: make(chan struct{}), fault: fault,
	}
}

// Usage gives the counts so far.
func (m *Memory) Usage() Usage {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.usage
}

// Get reads an object, or fails with ErrAbsent.
func (m *Memory) Get(ctx context.Context, class Class, key Key) (Object, error) {
	if _, err := m.begin(ctx, Call{Class: class, Key: key}); err != nil {
		return Object{}, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrAbsent
	}
	m.usage.Read += len(o.Value)
	return o, nil
}

// List reads all objects whose key begins with prefix, sorted by key.
func (m *Memory) List(ctx context.Context, class Class, prefix Key) ([]Object, error) {
	if _, err := m.begin(ctx, Call{Class: class, Key: prefix}); err != nil {
		return nil, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	var objects []Object
	for k, o := range m.objects {
		if strings.HasPrefix(string(k), string(prefix)) {
			m.usage.Read += len(o.Value)
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, nil
}

// Put writes value if the object's version is expect.
func (m *Memory) Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error) {
	after, err := m.begin(ctx, Call{Write: true, Class: class, Key: key})
	if err != nil {
		return 0, err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.usage.Written += len(value)
	if m.objects[key].Version != expect {
		return 0, ErrConflict
	}
	m.last++
	m.objects[key] = Object{Key: key, Version: m.last, Value: append([]byte(nil), value...)}
	delete(m.deleted, key)
	m.wake()
	return m.last, after
}

// Delete removes the object if its version is expect.
func (m *Memory) Delete(ctx context.Context, class Class, key Key, expect Version) error {
	after, err := m.begin(ctx, Call{Write: true, Class: class, Key: key})
	if err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.objects[key].Version != expect {
		return ErrConflict
	}
	m.last++
	delete(m.objects, key)
	m.deleted[key] = m.last
	m.wake()
	return after
}

// Watch waits up to wait for changes under prefix later than after.
func (m *Memory) Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error) {
	if _, err := m.begin(ctx, Call{Class: class, Key: prefix}); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.lock.Lock()
		changes, upto, changed := m.changes(prefix, after), m.last, m.changed
		m.lock.Unlock()
		if len(changes) > 0 {
			return changes, upto, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ErrUnavailable
		case <-timer.C:
			return nil, upto, nil
		case <-changed:
		}
	}
}

// Instances lists the announced instances.
func (m *Memory) Instances(ctx context.Context, class Class) ([]Instance, error) {
	if _, err := m.begin(ctx, Call{Class: class}); err != nil {
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

// Announce enters an instance in the list.
func (m *Memory) Announce(ctx context.Context, class Class, instance Instance) error {
	if _, err := m.begin(ctx, Call{Write: true, Class: class}); err != nil {
		return err
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.instances[instance.ID] = instance
	return nil
}

// begin counts a call. It gives the error that the call ends with although it
// takes effect, and the error that keeps it from taking effect.
func (m *Memory) begin(ctx context.Context, call Call) (after, before error) {
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
	case FaultDown:
		return nil, ErrUnavailable
	case FaultLost:
		return nil, lost(call)
	case FaultTimesOut:
		<-ctx.Done()
		return nil, lost(call)
	case FaultUnheard:
		return lost(call), nil
	default:
		return nil, nil
	}
}

func (m *Memory) changes(prefix Key, after Version) []Change {
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

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// lost gives the error of a call that got no answer.
func lost(call Call) error {
	if call.Write {
		return ErrUncertain
	}
	return ErrUnavailable
}
