package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// OwnerMap maps each body to its owner among the live routers, by rendezvous
// hashing. It is immutable.
type OwnerMap struct {
	hash *rendezvous.Rendezvous
}

// NewOwnerMap returns the map over the live routers that are not leaving.
func NewOwnerMap(routers []fleet.Router) *OwnerMap {
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		if !r.Leaving {
			names = append(names, string(r.ID))
		}
	}
	if len(names) == 0 {
		return &OwnerMap{}
	}
	return &OwnerMap{hash: rendezvous.New(names, xxhash.Sum64String)}
}

// Owner returns the router that owns a body, or "" if there is none.
func (m *OwnerMap) Owner(body ident.Fingerprint) ident.RouterID {
	if m.hash == nil {
		return ""
	}
	return ident.RouterID(m.hash.Lookup(strconv.FormatUint(uint64(body), 16)))
}
