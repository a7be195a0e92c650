package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// instanceTTL is the time for which an instance is listed after its last
// announcement.
const instanceTTL = 10 * time.Second

// maxAnnouncements limits the announcements stored per instance.
const maxAnnouncements = 256

// instanceLog stores announcements, so that the list of instances can be returned
// as of an earlier time.
type instanceLog struct {
	announced map[string][]announcement
}

type announcement struct {
	instance plat.Instance
	at       time.Time
}

func newInstanceLog() instanceLog {
	return instanceLog{announced: make(map[string][]announcement)}
}

func (l instanceLog) announce(now time.Time, instance plat.Instance) {
	history := append(l.announced[instance.ID], announcement{instance: instance, at: now})
	if len(history) > maxAnnouncements {
		history = history[len(history)-maxAnnouncements:]
	}
	l.announced[instance.ID] = history
}

// list returns the instances listed at the given time, sorted by ID.
func (l instanceLog) list(at time.Time) []plat.Instance {
	found := []plat.Instance{}
	for _, history := range l.announced {
		latest, ok := latestBefore(history, at)
		if ok && at.Sub(latest.at) < instanceTTL {
			found = append(found, latest.instance)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

func latestBefore(history []announcement, at time.Time) (announcement, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(at) {
			return history[i], true
		}
	}
	return announcement{}, false
}

// Instances returns the live and leaving instances as of StoreFaults.InstanceLag
// ago.
func (s *Store) Instances(ctx context.Context, class plat.Class) ([]plat.Instance, error) {
	if err := s.beginCall(ctx, KindInstances, class, 0); err != nil {
		return nil, fmt.Errorf("listing instances: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.instances.list(s.now().Add(-time.Duration(s.faults.InstanceLag)))
	if encoded, err := json.Marshal(found); err == nil {
		s.addBytes(KindInstances, class, len(encoded))
	}
	return found, nil
}

// Announce adds an instance to the list or renews it.
func (s *Store) Announce(ctx context.Context, class plat.Class, instance plat.Instance) error {
	if err := s.beginCall(ctx, KindAnnounce, class, 0); err != nil {
		return fmt.Errorf("announcing %q: %w", instance.ID, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances.announce(s.now(), instance)
	if s.losesReply() {
		return fmt.Errorf("announcing %q: %w", instance.ID, plat.ErrUncertain)
	}
	return nil
}
