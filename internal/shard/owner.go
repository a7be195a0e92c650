package shard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ID is the number of a shard of the journal, starting at 0.
type ID int

// Prefix returns the key prefix of the shard's objects.
func (i ID) Prefix() plat.Key {
	return plat.Key(fmt.Sprintf("%s%04d/", plat.JournalPrefix, int(i)))
}

// Of returns the shard of a record for the given number of shards.
func Of(record Record, shards int) ID {
	return ID(xxhash.Sum64String(routingKey(record)) % uint64(shards))
}

// Owner returns the router that commits the shard's records for all routers, or
// "" if there are no routers. Ownership only reduces the number of writes: it is
// safe if two routers both act as the owner of a shard.
func Owner(shard ID, routers []ident.RouterID) ident.RouterID {
	if len(routers) == 0 {
		return ""
	}
	ids := make([]string, len(routers))
	for i, r := range routers {
		ids[i] = string(r)
	}
	return ident.RouterID(rendezvous.New(ids, xxhash.Sum64String).Lookup(string(shard.Prefix())))
}

func routingKey(record Record) string {
	switch r := record.(type) {
	case Claim:
		return r.Key.String()
	case Outcome:
		return r.Key.String()
	case Release:
		return r.Key.String()
	case Bill:
		return r.Key.String()
	case Binding:
		return r.Session.String()
	default:
		return ""
	}
}
