// Package world holds a router's state for pass-through routes: the current
// configuration, the live endpoints, the availability zones out of service and
// the active roll-outs. It is a deterministic state machine without I/O, driven
// by events from the platform's store.
package world

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Settings are the settings of a State.
type Settings struct {
	Router ident.RouterID
	// RemovalGrace is how long an entry that was removed while the store was
	// unavailable is still used after the store's return. Live endpoints have
	// announced themselves again by then.
	RemovalGrace time.Duration
	// AwaitConfirmation keeps the view from being ready until DataConfirmed.
	AwaitConfirmation bool
}

// Endpoint is one run of a back-end process, as it announced itself.
type Endpoint struct {
	ID            ident.EndpointID
	Service       ident.ServiceID
	Address       string // host:port
	Zone          ident.ZoneID
	Version       ident.VersionID // software version
	Slots         int
	StartedMillis int64 // start time in Unix milliseconds, 0 if unknown
	Leaving       bool
	// ColdUntil is when the endpoint can take its full load, or the zero time if
	// it did not announce a cold start.
	ColdUntil time.Time
}

// Cold reports whether the endpoint can take only a small load.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Event is an input of a State: EndpointsChanged, EndpointLeaving, ConfigChanged, RolloutsChanged,
// ZonesChanged, StoreDown, StoreUp, OutageDismissed or DataConfirmed.
type Event interface{ event() }

// Announcement is an endpoint's entry in the store.
type Announcement struct {
	Endpoint Endpoint      // without ColdUntil
	ColdFor  time.Duration // remaining time of the cold start
}

// EndpointsChanged lists entries that were added, changed or removed. Full means
// that all other entries were removed. Rewound, here and in the other events, means
// that the store came back from an older copy: the latest changes may be missing
// until their writers write them again.
type EndpointsChanged struct {
	Present []Announcement
	Removed []ident.EndpointID
	Full    bool
	Rewound bool
}

// EndpointLeaving reports that an endpoint said, other than in its entry, that it
// takes no new requests.
type EndpointLeaving struct {
	Endpoint      ident.EndpointID
	StartedMillis int64 // of the incarnation that said so
}

// ConfigChanged holds the latest configuration, and the revision at which it was stored.
type ConfigChanged struct {
	Config   *paths.Config
	Revision plat.Version
	Rewound  bool // see EndpointsChanged
}

// RolloutsChanged lists roll-outs that were added, changed or removed. Full means
// that all others were removed.
type RolloutsChanged struct {
	Present []Rollout
	Removed []ident.ServiceID
	Full    bool
	Rewound bool
}

// ZonesChanged lists zones that operators take out of service or restore. Full
// means that all other zones are in service.
type ZonesChanged struct {
	Out      []ident.ZoneID
	Restored []ident.ZoneID
	Full     bool
	Rewound  bool
}

// StoreDown reports that the store of the endpoints' entries is unavailable.
type StoreDown struct{}

// StoreUp reports that the store is available again since a given time. A later one with
// an earlier time corrects it.
type StoreUp struct{ At time.Time }

// OutageDismissed reports that the store has been available all the while, other than
// the last StoreDown or StoreUp said.
type OutageDismissed struct{}

// DataConfirmed reports that the data known so far is current, or that nobody is known to
// have newer data.
type DataConfirmed struct{}

func (DataConfirmed) event()    {}
func (EndpointsChanged) event() {}
func (EndpointLeaving) event()  {}
func (ConfigChanged) event()    {}
func (RolloutsChanged) event()  {}
func (ZonesChanged) event()     {}
func (StoreDown) event()        {}
func (StoreUp) event()          {}
func (OutageDismissed) event()  {}

// Change is a change of the state, for the log.
type Change struct {
	Message string // such as "endpoint leaving"
	Name    string // id of what changed
	Detail  string
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	settings       Settings
	config         *paths.Config
	configRevision plat.Version
	pastConfigs    pastConfigs
	heldConfig     *heldConfig // nil for none
	endpoints      map[ident.EndpointID]*Endpoint
	removedAt      map[ident.EndpointID]time.Time // removal time of entries that are kept for the time being
	gone           map[ident.EndpointID]goneEndpoint
	heldBack       map[ident.EndpointID]heldEndpoint
	rollouts       map[ident.ServiceID]Rollout
	lostRollouts   map[ident.ServiceID]Rollout // as known before the store was rewound
	outZones       map[ident.ZoneID]bool
	lostZones      map[ident.ZoneID]time.Time // out of service, though the store lost that at this time
	storeDown      bool
	storeUpAt      time.Time // when the store returned
	rewoundAt      time.Time // when it was found to have come back from an older copy
	confirmed      bool      // set by DataConfirmed
	endpointsKnown bool      // set by the first full list
	rolloutsKnown  bool
	zonesKnown     bool
	stable         map[ident.ServiceID]ident.VersionID
	view           *View
	changes        []Change
}

// New returns a State without data.
func New(settings Settings) *State {
	s := &State{
		settings:  settings,
		endpoints: map[ident.EndpointID]*Endpoint{},
		removedAt: map[ident.EndpointID]time.Time{},
		rollouts:  map[ident.ServiceID]Rollout{},
		outZones:  map[ident.ZoneID]bool{},
		stable:    map[ident.ServiceID]ident.VersionID{},

		gone:         map[ident.EndpointID]goneEndpoint{},
		heldBack:     map[ident.EndpointID]heldEndpoint{},
		lostRollouts: map[ident.ServiceID]Rollout{},
		lostZones:    map[ident.ZoneID]time.Time{},
	}
	s.view = s.build()
	return s
}

// View returns the latest view.
func (s *State) View() *View { return s.view }

// Step applies an event and returns the resulting changes.
func (s *State) Step(now time.Time, e Event) []Change {
	s.changes = nil
	changed := false
	switch x := e.(type) {
	case EndpointsChanged:
		changed = s.applyEndpoints(now, x)
	case EndpointLeaving:
		changed = s.applyLeaving(x)
	case ConfigChanged:
		changed = s.applyConfig(now, x)
	case RolloutsChanged:
		changed = s.applyRollouts(now, x)
	case ZonesChanged:
		changed = s.applyZones(now, x)
	case StoreDown:
		s.storeDown = true
	case StoreUp:
		s.storeDown = false
		s.storeUpAt = x.At
	case OutageDismissed:
		s.storeDown = false
		s.storeUpAt = time.Time{}
	case DataConfirmed:
		changed = !s.confirmed
		s.confirmed = true
	}
	if s.expire(now) || changed {
		s.view = s.build()
	}
	return s.changes
}

// Expire ends what is kept for a limited time after the store's return or rewind,
// and returns the resulting changes.
func (s *State) Expire(now time.Time) []Change {
	s.changes = nil
	if s.expire(now) {
		s.view = s.build()
	}
	return s.changes
}

// expire ends what is kept for a limited time and reports whether the view changes.
func (s *State) expire(now time.Time) bool {
	removed := s.expireRemoved(now)
	admitted := s.admitHeldBack(now)
	config := s.applyHeldConfig(now)
	return s.restoreLostZones(now) || admitted || removed || config
}

func (s *State) record(message, name, format string, args ...any) {
	s.changes = append(s.changes, Change{Message: message, Name: name, Detail: fmt.Sprintf(format, args...)})
}

// applyConfig applies a configuration if it is newer than the current one, or takes its place,
// and reports whether the view changes.
func (s *State) applyConfig(now time.Time, x ConfigChanged) bool {
	s.heldConfig = nil // older than x
	if c := s.config; c != nil && x.Config.Generation <= c.Generation {
		if x.Config.Generation == c.Generation && x.Config.SameContent(c) {
			s.configRevision = max(s.configRevision, x.Revision)
			return true
		}
		if !s.decideConfig(now, x) {
			return false
		}
	}
	s.putInForce(x)
	return true
}

func (s *State) putInForce(x ConfigChanged) {
	s.config, s.configRevision, s.heldConfig = x.Config, x.Revision, nil
	s.pastConfigs.add(x.Config)
	s.record("configuration in force", nameOf(x), "%d routes, %d services, revision %v", x.Config.RouteCount(), len(x.Config.Services), x.Revision)
}

// ignoreConfig records why a configuration is not put in force.
func (s *State) ignoreConfig(x ConfigChanged, format string, args ...any) {
	s.record("configuration ignored", nameOf(x), "revision %v: %s", x.Revision, fmt.Sprintf(format, args...))
}

func nameOf(x ConfigChanged) string { return fmt.Sprint(x.Config.Generation) }

func (s *State) service(id ident.ServiceID) *paths.Service {
	if s.config == nil {
		return nil
	}
	return s.config.Services[id]
}
