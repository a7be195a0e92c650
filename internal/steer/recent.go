package steer

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxSessions bounds the sessions that are remembered.
const maxRecentSessions = 8192

// pins remembers when each session last ran on this router. It is safe for use
// by many goroutines.
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
		return nil, fmt.Errorf("remembering %d sessions: %w", maxRecentSessions, err)
	}
	return &recentSessions{entries: entries}, nil
}

// put notes that a session runs on a service.
func (r *recentSessions) record(now time.Time, session ident.SessionKey, service ident.ServiceID) {
	r.entries.Add(recentKey{session, service}, now)
}

// each gives the sessions that ran on a service within a time.
func (r *recentSessions) forEach(now time.Time, service ident.ServiceID, within time.Duration, tell func(session ident.SessionKey, last time.Time)) {
	for _, key := range r.entries.Keys() {
		if x, ok := r.entries.Peek(key); ok && key.service == service && now.Sub(x) < within {
			tell(key.session, x)
		}
	}
}
