package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// copiedConfigHold is how long a configuration that was found in an older copy of the store
	// waits for the operator to write the lost one again.
	copiedConfigHold = 1500 * time.Millisecond
	// maxPastConfigs bounds the configurations that are remembered to have been in force. It
	// exceeds the changes within the age of the copies from which a store comes back.
	maxPastConfigs = 256
)

// heldConfig is a configuration that is not yet in force.
type heldConfig struct {
	change ConfigChanged
	until  time.Time
}

// pastConfig identifies a configuration that has been in force.
type pastConfig struct {
	generation ident.Generation
	config     uint64 // see paths.Config.Digest
}

// pastConfigs remembers the configurations that were in force last.
type pastConfigs struct {
	list []pastConfig
	next int // index in list that is replaced next, once it is full
}

func (p *pastConfigs) add(c *paths.Config) {
	x := pastConfig{c.Generation, c.Digest()}
	if len(p.list) < maxPastConfigs {
		p.list = append(p.list, x)
		return
	}
	p.list[p.next] = x
	p.next = (p.next + 1) % maxPastConfigs
}

func (p *pastConfigs) contains(c *paths.Config) bool {
	for _, x := range p.list {
		if x.generation == c.Generation && x.config == c.Digest() {
			return true
		}
	}
	return false
}

// decideConfig decides on a configuration that is not newer than the one in force by its
// generation. Within an era of the store it is then a late write that nobody waited for,
// unless it replaces the content of the same generation. A later era has its own generations:
// those in force may be lost, and what is written since counts. What the older copy itself holds
// is no news if it was in force before; it is put in force after a while if not, since it may
// have been written between the return of the store and the first look at it.
func (s *State) decideConfig(now time.Time, x ConfigChanged) (inForce bool) {
	current := s.config.Generation
	switch laterEra := x.Revision.Era() > s.configRevision.Era(); {
	case laterEra && x.Rewound && s.pastConfigs.contains(x.Config):
		s.ignoreConfig(x, "of the older copy from which the store came back, while generation %d is in force", current)
		return false
	case laterEra && x.Rewound:
		s.heldConfig = &heldConfig{change: x, until: now.Add(copiedConfigHold)}
		s.record("configuration held back", nameOf(x), "revision %v: the store came back from an older copy, and generation %d is in force", x.Revision, current)
		return false
	case laterEra, x.Config.Generation == current && x.Revision > s.configRevision:
		return true
	default:
		s.ignoreConfig(x, "not newer than the current generation %d of revision %v", current, s.configRevision)
		return false
	}
}

// applyHeldConfig puts a configuration in force that was held back, if its time has come, and
// reports whether the view changes.
func (s *State) applyHeldConfig(now time.Time) bool {
	if s.heldConfig == nil || now.Before(s.heldConfig.until) {
		return false
	}
	s.putInForce(s.heldConfig.change)
	return true
}
