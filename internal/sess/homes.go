package sess

import (
	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Homes gives the routers that remember a session: the best two by rendezvous
// hashing, in different availability zones if there are two. Leaving routers
// are passed over.
func HomeRouters(session ident.SessionKey, routers []fleet.Router) []ident.RouterID {
	seed := hash(session)
	first, ok := best(seed, routers, func(fleet.Router) bool { return true })
	if !ok {
		return nil
	}
	second, ok := best(seed, routers, func(r fleet.Router) bool { return r.Zone != first.Zone })
	if !ok {
		second, ok = best(seed, routers, func(r fleet.Router) bool { return r.ID != first.ID })
	}
	if !ok {
		return []ident.RouterID{first.ID}
	}
	return []ident.RouterID{first.ID, second.ID}
}

func best(session uint64, routers []fleet.Router, fits func(fleet.Router) bool) (fleet.Router, bool) {
	var found fleet.Router
	var top uint64
	ok := false
	for _, r := range routers {
		if r.Leaving || !fits(r) {
			continue
		}
		score := weight(session, r.ID)
		if !ok || score > top || score == top && r.ID < found.ID {
			found, top, ok = r, score, true
		}
	}
	return found, ok
}

// weight gives a router's rank for a session, from the session's hash.
func weight(session uint64, router ident.RouterID) uint64 {
	x := session ^ xxhash.Sum64String(string(router))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hash(session ident.SessionKey) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(session.Team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(session.Session))
	return d.Sum64()
}
