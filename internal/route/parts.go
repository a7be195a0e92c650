package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Part is a piece of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens ident.Tokens
}

// Chain hashes the leading parts of a prompt for a model: each hash covers all
// parts up to its own, so equal hashes mean equal prefixes. A part that is
// cached helps only if all before it are.
func HashParts(model ident.ModelID, parts []PromptPart) []uint64 {
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
type Candidate struct {
	Endpoint ident.EndpointID
	Zone     ident.ZoneID
	Slots    int
	Cold     bool
	NewVersion      bool // it has read nothing yet but what this router has sent it
}

// Errand is what the choice of a site depends on.
type Query struct {
	Seed    uint64
	Zone    ident.ZoneID // of this router
	Model   ident.ModelID
	Prompt  ident.Tokens // 0 for a plain call
	Parts   []PromptPart
	TransferBytes    int // bytes that are sent and come back, estimated
	Exclude []ident.EndpointID
	Remaining    time.Duration // until the answer is of no use
	// Others gives what other routers have sent to an endpoint and what has not
	// answered yet.
	OtherBacklogs func(ident.EndpointID) ModelBacklogs
}

// Pick is the outcome of a choice.
type Decision struct {
	Index     int           // index of the site chosen, -1 for none
	HomeRank     int           // among the homes of the prompt's shared parts, -1 for none of them
	Expected time.Duration // to the answer or first event
	Uncorrected     time.Duration // the same without correction by experience
	Work     time.Duration // of Base, the part that the endpoint works on this request
	Wait     time.Duration // of Base, for the prompts of others
	Uncached ident.Tokens  // of the prompt that are to be read
	Cost     time.Duration // what the choice was made by
	TooLate     bool          // there are sites, but none can answer in time
	RetryAfter    time.Duration // when one is expected to, if none is chosen
}

const (
	// correctionMost bounds how much an endpoint's late first events add to what
	// is expected of it: they come from waits, which pass.
	correctionMost = 4.0
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
	// drawnSites is the number of sites that a request looks at beside its homes,
	// on average.
	drawnSites = 3.0
	// drawnAgain is how many times as many it looks at if none was drawn.
	drawnAgain = 3.0
	// fullAfter is when to come back if every site has just refused.
	fullAfter = 200 * time.Millisecond
)

// homeTrust are the parts of a shared prompt that are taken for cached at its
// homes, by rank, although this router has not sent it there itself.
var homeTrust = [...]float64{0.2, 0.1, 0.05}

// Choose picks a site of little cost. It answers the pattern of long prompts
// with shared parts under load: a request goes where its parts are read
// already, unless the prompts waiting there cost more than to read them
// elsewhere. The homes of a shared prefix are the same on all routers without a
// message between them, by rendezvous hashing; what is too much for the first
// goes to the second, so that few endpoints read it. Beside its homes a request
// looks at a few sites drawn for it alone: many routers that know the same of
// all sites would all send to the best one until they hear of each other.
func (t *Estimator) Choose(now time.Time, sites []Candidate, e Query, loads *LoadTracker, prefixes *PrefixIndex) Decision {
	chain := HashParts(e.Model, e.Parts)
	q := query{now: now, sites: sites, errand: e, loads: loads, prefixes: prefixes, chain: chain, homes: homes(sites, chain)}
	few := drawnSites / float64(max(1, len(sites)))
	for _, draw := range [...]float64{few, drawnAgain * few, 1} {
		if p, ok := t.best(&q, draw); ok {
			return p.inTime(e.Remaining)
		}
	}
	return Decision{Index: -1, RetryAfter: max(q.soonest, fullAfter)}
}

// query is one choice under way.
type query struct {
	now      time.Time
	sites    []Candidate
	errand   Query
	loads    *LoadTracker
	prefixes *PrefixIndex
	chain    []uint64
	homes    ranking
	soonest  time.Duration // until a site that refused may be asked again
}

// best gives the site of the least cost among the homes, those that have read a
// part of the prompt, and a part of the others that is drawn.
func (t *Estimator) best(q *query, draw float64) (Decision, bool) {
	best := Decision{Index: -1}
	for i := range q.sites {
		s := &q.sites[i]
		if excluded(q.errand.Exclude, s.Endpoint) {
			continue
		}
		l := q.loads.Load(q.now, s.Endpoint, time.Time{})
		switch {
		case l.Backoff > 0:
			if q.soonest == 0 || l.Backoff < q.soonest {
				q.soonest = l.Backoff
			}
		case q.homes.rank(i) >= 0, noise(^q.errand.Seed, s.Endpoint) < draw, q.prefixes.Cached(s.Endpoint, shared(q.chain)) > 0:
			if p := t.weigh(q.now, i, s, q.errand, l, q.chain, q.homes, q.prefixes); best.Index < 0 || p.Cost < best.Cost {
				best = p
			}
		}
	}
	return best, best.Index >= 0
}

// inTime gives the pick if it can answer in the time left. A correction by
// experience is too rough to refuse by.
func (p Decision) inTime(left time.Duration) Decision {
	if left > 0 && p.Uncorrected > left {
		return Decision{Index: -1, TooLate: true, RetryAfter: p.Uncorrected - left}
	}
	return p
}

// shared gives the part of a chain that other prompts may share.
func shared(chain []uint64) []uint64 {
	if len(chain) < 2 {
		return nil
	}
	return chain[:len(chain)-1]
}

// weigh gives the cost of one site.
func (t *Estimator) weigh(now time.Time, at int, s *Candidate, e Query, l Load, chain []uint64, homes ranking, prefixes *PrefixIndex) Decision {
	p := Decision{Index: at, HomeRank: homes.rank(at)}
	if e.Prompt > 0 {
		p.Uncached = max(0, e.Prompt-cached(s, e, chain, p.HomeRank, prefixes))
	}
	work := t.first(e.Model, p.Uncached)
	var others ModelBacklogs
	if e.OtherBacklogs != nil {
		others = e.OtherBacklogs(s.Endpoint)
	}
	wait := t.delay(t.backlog(s.Endpoint, others), p.Uncached)
	p.Uncorrected, p.Work, p.Wait = work+wait, work, wait
	p.Expected = time.Duration(float64(p.Uncorrected) * min(l.Correction, correctionMost))
	crowd := 1.0
	if s.Slots > 0 {
		crowd += float64(l.Running) / float64(s.Slots)
	}
	p.Cost = time.Duration(float64(p.Expected)*crowd) + time.Duration(float64(work)*delayOthers) + time.Duration(t.failures(now, s.Endpoint)*float64(failureCost))
	if s.Zone != e.Zone {
		p.Cost += zonePenalty + transferCost*time.Duration(e.TransferBytes/1024)
	}
	p.Cost = time.Duration(float64(p.Cost) * (1 + spreadNoise*noise(e.Seed, s.Endpoint)))
	return p
}

// cached gives the tokens of the prompt that the site is expected to hold.
func cached(s *Candidate, e Query, chain []uint64, rank int, prefixes *PrefixIndex) ident.Tokens {
	common := shared(chain)
	if len(common) == 0 {
		return 0
	}
	known := ident.Tokens(0)
	for i := range prefixes.Cached(s.Endpoint, common) {
		known += e.Parts[i].Tokens
	}
	if rank < 0 {
		return known
	}
	trust := homeTrust[rank]
	if s.NewVersion {
		trust *= newTrust
	}
	all := ident.Tokens(0)
	for i := range common {
		all += e.Parts[i].Tokens
	}
	return max(known, ident.Tokens(float64(all)*trust))
}

// newTrust is the part of homeTrust that holds at an endpoint of a version on
// trial, which may not have read the prompt yet.
const newTrust = 0.5

// ranking lists the sites that are the homes of a prompt's shared parts.
type ranking [len(homeTrust)]int

// rank gives a site's place in the ranking, -1 if it has none.
func (r ranking) rank(site int) int {
	for i, at := range r {
		if at == site {
			return i
		}
	}
	return -1
}

// homes ranks the sites where a prompt's shared parts are kept.
func homes(sites []Candidate, chain []uint64) ranking {
	var best ranking
	var weights [len(best)]uint64
	for i := range best {
		best[i] = -1
	}
	if len(chain) < 2 {
		return best
	}
	for i := range sites {
		w := mixed(chain[len(chain)-2], sites[i].Endpoint)
		at := i
		for k := range best {
			if best[k] < 0 || w > weights[k] {
				best[k], at = at, best[k]
				weights[k], w = w, weights[k]
			}
			if at < 0 {
				break
			}
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
