package gossip

import "time"

// Validity classifies whether a router may serve with its configuration.
type Validity int

// The validities of a configuration.
const (
	// ValidityConfirmed means that the configuration was confirmed as current
	// within ConfirmationTTL.
	ValidityConfirmed Validity = iota
	// ValidityMajority means that there is no recent confirmation, but the router
	// reaches more than half of the routers. As none of them reaches the platform
	// either, this is treated as an outage of the platform: the router keeps
	// serving.
	ValidityMajority
	// ValidityMinority means that the router is partitioned with at most half of
	// the routers. The others may have a newer configuration in force, so the
	// router must refuse new work.
	ValidityMinority
)

// ConfirmationTTL is how long a confirmation of the configuration is valid.
const ConfirmationTTL = 3 * time.Second

// Connectivity is what a router can reach.
type Connectivity struct {
	Confirmed time.Time // newest confirmation of the configuration, by this router or a peer
	Live      int       // other routers that are live, whether listed or not
	Listed    int       // other routers in the platform's last list, without leaving ones
}

// ConfigValidity returns the validity of a router's configuration. The caller
// must check that there was a confirmation since the router's start; without one
// the router must not serve at all.
func ConfigValidity(now time.Time, c Connectivity) Validity {
	if now.Sub(c.Confirmed) <= ConfirmationTTL {
		return ValidityConfirmed
	}
	// The 1 on both sides is this router, which neither count includes.
	if 2*(c.Live+1) > c.Listed+1 {
		return ValidityMajority
	}
	return ValidityMinority
}

// PeerTimeout returns how long after it was last known to be alive a router is
// considered dead. Liveness information takes more rounds to reach every router of
// a larger fleet; see SimulateAges.
func PeerTimeout(routers int) time.Duration {
	if routers <= maxAllPairsRouters {
		return 3 * allPairsInterval
	}
	return 15 * time.Second
}
