package shard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ID numbers a shard of the journal, from 0.
type ID int

// Prefix is the key prefix of the shard's objects.
func (i ID) Prefix() plat.Key {
	return plat.Key(fmt.Sprintf("%s%04d/", plat.JournalPrefix, int(i)))
}

// Of gives the shard of a record, out of the given number of shards.
func Of(record Record, shards int) ID {
	return ID(xxhash.Sum64String(routingKey(record)) % uint64(shards))
}

// Owner names the router that commits the shard's records for all others. It
// only saves writes: two routers that both think they own a shard are safe.
// It is empty if there are no routers.
func Owner(shard ID, routers []ident.RouterID) ident.RouterID {
	if len(routers) == 0 {
		return ""
	}
	names := make([]string, len(routers))
	for i, r := range routers {
		names[i] = string(r)
	}
	return ident.RouterID(rendezvous.New(names, xxhash.Sum64String).Lookup(string(shard.Prefix())))
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
