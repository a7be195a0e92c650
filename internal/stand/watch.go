package stand

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Watch waits up to wait for changes under prefix later than after. Of several
// changes to one key it returns only the last.
func (s *Store) Watch(ctx context.Context, class plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error) {
	if err := s.beginCall(ctx, KindWatch, class, 0); err != nil {
		return nil, 0, fmt.Errorf("watching %q: %w", prefix, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		view := s.viewAfter(class, prefix, after)
		switch {
		case view.down:
			return nil, 0, fmt.Errorf("watching %q: %w", prefix, plat.ErrUnavailable)
		case len(view.found) > 0:
			return view.found, view.upto, nil
		}
		select {
		case <-view.changed:
		case <-timer.C:
			return nil, view.upto, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watching %q: %w: %w", prefix, ctx.Err(), plat.ErrUnavailable)
		}
	}
}

// watchView is the state of a watch at one time.
type watchView struct {
	found   []plat.Change
	upto    plat.Version
	changed chan struct{} // closed at the next change
	down    bool
}

func (s *Store) viewAfter(class plat.Class, prefix plat.Key, after plat.Version) watchView {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	view := watchView{upto: after, changed: s.changed, down: s.faults.Down}
	if s.faults.StaleWatches || s.faults.Down {
		return view
	}
	view.upto = s.last
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
	for _, e := range s.log[first:] {
		c := s.objects[e.key]
		if c.At != e.version || !strings.HasPrefix(string(e.key), string(prefix)) {
			continue
		}
		c.Object = cloneObject(c.Object)
		s.addBytes(KindWatch, class, len(c.Object.Value))
		view.found = append(view.found, c)
	}
	return view
}
