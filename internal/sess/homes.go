package sess

import (
	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// HomeRouters returns the routers that cache a session's bindings: the best two by
// rendezvous hashing, in different availability zones if there are two. Leaving
// routers are skipped.
func HomeRouters(session ident.SessionKey, routers []fleet.Router) []ident.RouterID {
	seed := hashSession(session)
	first, ok := bestRouter(seed, routers, func(fleet.Router) bool { return true })
	if !ok {
		return nil
	}
	second, ok := bestRouter(seed, routers, func(r fleet.Router) bool { return r.Zone != first.Zone })
	if !ok {
		second, ok = bestRouter(seed, routers, func(r fleet.Router) bool { return r.ID != first.ID })
	}
	if !ok {
		return []ident.RouterID{first.ID}
	}
	return []ident.RouterID{first.ID, second.ID}
}

// bestRouter returns the router with the highest score among those accepted and not
// leaving, and whether there is one.
func bestRouter(session uint64, routers []fleet.Router, accepts func(fleet.Router) bool) (fleet.Router, bool) {
	var found fleet.Router
	var highest uint64
	ok := false
	for _, r := range routers {
		if r.Leaving || !accepts(r) {
			continue
		}
		s := score(session, r.ID)
		if !ok || s > highest || s == highest && r.ID < found.ID {
			found, highest, ok = r, s, true
		}
	}
	return found, ok
}

// score returns a router's score for a session, given the session's hash.
func score(session uint64, router ident.RouterID) uint64 {
	x := session ^ xxhash.Sum64String(string(router))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashSession(session ident.SessionKey) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(session.Team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(session.Session))
	return d.Sum64()
}
