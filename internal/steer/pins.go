package steer

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxSessions bounds the sessions that are remembered.
const maxSessions = 8192

// pins remembers when each session last ran on this router. It is safe for use
// by many goroutines.
type pins struct{ entries *lru.Cache[pinKey, time.Time] }

type pinKey struct {
	session ident.SessionKey
	service ident.ServiceID
}

func newPins() (*pins, error) {
	entries, err := lru.New[pinKey, time.Time](maxSessions)
	if err != nil {
		return nil, fmt.Errorf("remembering %d sessions: %w", maxSessions, err)
	}
	return &pins{entries: entries}, nil
}

// put notes that a session runs on a service.
func (p *pins) put(now time.Time, session ident.SessionKey, service ident.ServiceID) {
	p.entries.Add(pinKey{session, service}, now)
}

// each gives the sessions that ran on a service within a time.
func (p *pins) each(now time.Time, service ident.ServiceID, within time.Duration, tell func(session ident.SessionKey, last time.Time)) {
	for _, key := range p.entries.Keys() {
		if x, ok := p.entries.Peek(key); ok && key.service == service && now.Sub(x) < within {
			tell(key.session, x)
		}
	}
}
