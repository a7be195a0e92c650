package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// instanceLife is how long an instance stays listed after its last
// announcement.
const instanceLife = 10 * time.Second

// historyLength bounds the announcements kept of one instance.
const historyLength = 256

// roster remembers announcements, so that the list can be given as it was some
// time ago.
type roster struct {
	announced map[string][]announcement
}

type announcement struct {
	instance plat.Instance
	at       time.Time
}

func newRoster() roster {
	return roster{announced: make(map[string][]announcement)}
}

func (r roster) announce(now time.Time, instance plat.Instance) {
	history := append(r.announced[instance.ID], announcement{instance: instance, at: now})
	if len(history) > historyLength {
		history = history[len(history)-historyLength:]
	}
	r.announced[instance.ID] = history
}

// list gives the instances that were listed at the time, sorted by id.
func (r roster) list(at time.Time) []plat.Instance {
	found := []plat.Instance{}
	for _, history := range r.announced {
		latest, ok := latestBefore(history, at)
		if ok && at.Sub(latest.at) < instanceLife {
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

// Instances lists the live and leaving instances as they were Faults.Lag ago.
func (s *Store) Instances(ctx context.Context, class plat.Class) ([]plat.Instance, error) {
	if err := s.begin(ctx, KindInstances, class, 0); err != nil {
		return nil, fmt.Errorf("listing instances: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.roster.list(s.now().Add(-time.Duration(s.faults.InstanceLag)))
	if encoded, err := json.Marshal(found); err == nil {
		s.addBytes(KindInstances, class, len(encoded))
	}
	return found, nil
}

// Announce enters an instance in the list, or renews it.
func (s *Store) Announce(ctx context.Context, class plat.Class, instance plat.Instance) error {
	if err := s.begin(ctx, KindAnnounce, class, 0); err != nil {
		return fmt.Errorf("announcing %q: %w", instance.ID, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.roster.announce(s.now(), instance)
	if s.loses() {
		return fmt.Errorf("announcing %q: %w", instance.ID, plat.ErrUncertain)
	}
	return nil
}
