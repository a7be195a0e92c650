package syncer

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxRecentSessions is the capacity of the LRU cache of sessions.
const maxRecentSessions = 8192

// recentSessions records when each session was last used on this router. It is
// safe for concurrent use.
type recentSessions struct {
	entries *lru.Cache[recentKey, time.Time]
}

type recentKey struct {
	session ident.SessionKey
	service ident.ServiceID
}

func newRecentSessions() (*recentSessions, error) {
	entries, err := lru.New[recentKey, time.Time](maxRecentSessions)
	if err != nil {
		return nil, fmt.Errorf("creating a cache of %d sessions: %w", maxRecentSessions, err)
	}
	return &recentSessions{entries: entries}, nil
}

// record records the use of a session on a service.
func (r *recentSessions) record(now time.Time, session ident.SessionKey, service ident.ServiceID) {
	r.entries.Add(recentKey{session, service}, now)
}

// forEach calls visit for each session used on a service within the given time
// before now.
func (r *recentSessions) forEach(now time.Time, service ident.ServiceID, within time.Duration, visit func(session ident.SessionKey, last time.Time)) {
	for _, key := range r.entries.Keys() {
		if x, ok := r.entries.Peek(key); ok && key.service == service && now.Sub(x) < within {
			visit(key.session, x)
		}
	}
}
