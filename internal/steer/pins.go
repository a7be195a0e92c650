package steer

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxSessions bounds the sessions whose version is remembered.
const maxSessions = 8192

// pins remembers the version on which each session last ran. It is safe for
// use by many goroutines.
type pins struct{ entries *lru.Cache[pinKey, pin] }

type pinKey struct {
	session ident.SessionKey
	service ident.ServiceID
}

type pin struct {
	version ident.VersionID
	at      time.Time // when its last answer ended
}

func newPins() (*pins, error) {
	entries, err := lru.New[pinKey, pin](maxSessions)
	if err != nil {
		return nil, fmt.Errorf("remembering %d sessions: %w", maxSessions, err)
	}
	return &pins{entries: entries}, nil
}

// put notes that a session's request ran on a version.
func (p *pins) put(now time.Time, session ident.SessionKey, service ident.ServiceID, version ident.VersionID) {
	p.entries.Add(pinKey{session, service}, pin{version: version, at: now})
}

// get gives the version on which a session last ran, if that was within a time.
func (p *pins) get(now time.Time, session ident.SessionKey, service ident.ServiceID, within time.Duration) (ident.VersionID, bool) {
	x, ok := p.entries.Get(pinKey{session, service})
	if !ok || now.Sub(x.at) >= within {
		return "", false
	}
	return x.version, true
}
