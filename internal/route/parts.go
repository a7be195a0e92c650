package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Chain hashes the leading parts of a prompt for a model: each hash covers all
// parts up to its own, so equal hashes mean equal prefixes. A part that is
// cached helps only if all before it are.
func Chain(model ident.ModelID, parts []Part) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(model)) // never fails
	chain := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(p.ID)
		chain[i] = h.Sum64()
	}
	return chain
}

// Site is an endpoint that a request may go to.
type Site struct {
	Endpoint ident.EndpointID
	Zone     ident.ZoneID
	Slots    int
	Cold     bool
	New      bool // it has read nothing yet but what this router has sent it
}

// Errand is what the choice of a site depends on.
type Errand struct {
	Seed    uint64
	Zone    ident.ZoneID // of this router
	Model   ident.ModelID
	Prompt  ident.Tokens // 0 for a plain call
	Parts   []Part
	Size    int // bytes that are sent and come back, estimated
	Exclude []ident.EndpointID
	Left    time.Duration // until the answer is of no use
	// Others gives the work that other routers have sent to an endpoint and
	// that has not answered yet.
	Others func(ident.EndpointID) time.Duration
}

// Pick is the outcome of a choice.
type Pick struct {
	Site     int           // index of the site chosen, -1 for none
	Expected time.Duration // to the answer or first event
	Base     time.Duration // the same without correction by experience
	Work     time.Duration // of Base, the part that the endpoint works on this request
	Uncached ident.Tokens  // of the prompt that are to be read
	Cost     time.Duration // what the choice was made by
	Late     bool          // there are sites, but none can answer in time
	After    time.Duration // when one is expected to, if none is chosen
}

const (
	// homeTrust is the part of the shared prompt that is taken for cached at
	// its home although this router has not sent it there itself.
	homeTrust = 0.7
	// transferCost weighs a kilobyte moved between zones against waiting.
	transferCost = time.Millisecond
	// delayOthers weighs work against waiting: it delays the requests that come
	// after, which waiting does not.
	delayOthers = 0.7
	// failureCost weighs the share of failed requests against waiting.
	failureCost = 2 * time.Second
	// spreadNoise parts sites of nearly equal cost, so that routers with the
	// same view do not all pick the same one.
	spreadNoise = 0.05
	// fullAfter is when to come back if every site has just refused.
	fullAfter = 200 * time.Millisecond
)

// Choose picks the site with the least cost. It answers the pattern of long
// prompts with shared parts under load: a request goes where its parts are
// read already, unless the prompts waiting there cost more than to read them
// elsewhere. The home of a shared prefix is the same on all routers without a
// message between them, by rendezvous hashing.
func (t *Tempo) Choose(now time.Time, sites []Site, e Errand, loads *Table, prefixes *Prefixes) Pick {
	chain := Chain(e.Model, e.Parts)
	home := home(sites, chain)
	best := Pick{Site: -1}
	var soonest time.Duration
	for i := range sites {
		if excluded(e.Exclude, sites[i].Endpoint) {
			continue
		}
		l := loads.Load(now, sites[i].Endpoint, time.Time{})
		if l.Backoff > 0 {
			if soonest == 0 || l.Backoff < soonest {
				soonest = l.Backoff
			}
			continue
		}
		p := t.weigh(now, i, &sites[i], e, l, chain, i == home, prefixes)
		if best.Site < 0 || p.Cost < best.Cost {
			best = p
		}
	}
	if best.Site < 0 {
		best.After = max(soonest, fullAfter)
		return best
	}
	if e.Left > 0 && best.Expected > e.Left {
		return Pick{Site: -1, Late: true, After: best.Expected - e.Left}
	}
	return best
}

// weigh gives the cost of one site.
func (t *Tempo) weigh(now time.Time, at int, s *Site, e Errand, l Load, chain []uint64, home bool, prefixes *Prefixes) Pick {
	p := Pick{Site: at}
	if e.Prompt > 0 {
		p.Uncached = max(0, e.Prompt-cached(s, e, chain, home, prefixes))
	}
	work := t.first(e.Model, p.Uncached)
	wait := t.backlog(s.Endpoint)
	if e.Others != nil {
		wait += e.Others(s.Endpoint)
	}
	p.Base, p.Work = work+wait, work
	p.Expected = time.Duration(float64(p.Base) * l.Factor)
	crowd := 1.0
	if s.Slots > 0 {
		crowd += float64(l.Running) / float64(s.Slots)
	}
	p.Cost = time.Duration(float64(p.Expected)*crowd) + time.Duration(float64(work)*delayOthers) + time.Duration(t.failures(now, s.Endpoint)*float64(failureCost))
	if s.Zone != e.Zone {
		p.Cost += zonePenalty + transferCost*time.Duration(e.Size/1024)
	}
	p.Cost = time.Duration(float64(p.Cost) * (1 + spreadNoise*noise(e.Seed, s.Endpoint)))
	return p
}

// cached gives the tokens of the prompt that the site is expected to hold.
func cached(s *Site, e Errand, chain []uint64, home bool, prefixes *Prefixes) ident.Tokens {
	if len(chain) < 2 {
		return 0
	}
	shared := chain[:len(chain)-1]
	known := ident.Tokens(0)
	for i := range prefixes.Cached(s.Endpoint, shared) {
		known += e.Parts[i].Tokens
	}
	if !home || s.New {
		return known
	}
	all := ident.Tokens(0)
	for i := range shared {
		all += e.Parts[i].Tokens
	}
	return max(known, ident.Tokens(float64(all)*homeTrust))
}

// home gives the site where a prompt's shared parts are kept, -1 for none.
func home(sites []Site, chain []uint64) int {
	if len(chain) < 2 {
		return -1
	}
	best, weight := -1, uint64(0)
	for i := range sites {
		if w := mixed(chain[len(chain)-2], sites[i].Endpoint); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}

func mixed(seed uint64, endpoint ident.EndpointID) uint64 {
	x := xxhash.Sum64String(string(endpoint)) ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func noise(seed uint64, endpoint ident.EndpointID) float64 {
	return float64(mixed(seed, endpoint)>>40) / float64(1<<24)
}
