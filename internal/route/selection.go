package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// PromptPart is a piece of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens ident.Tokens
}

// HashParts returns a hash for each part of a prompt. Each hash covers the model
// and all parts up to its own, so equal hashes mean equal prefixes: a cached
// part saves work only if all parts before it are cached too.
func HashParts(model ident.ModelID, parts []PromptPart) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(model)) // never fails
	hashes := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(p.ID)
		hashes[i] = h.Sum64()
	}
	return hashes
}

// Candidate is an endpoint that a request may be sent to.
type Candidate struct {
	Endpoint   ident.EndpointID
	Zone       ident.ZoneID
	Slots      int
	Cold       bool
	NewVersion bool // runs a version on trial, so its cache holds only what this router has sent it
}

// Query is the request for which Estimator.Choose chooses a candidate.
type Query struct {
	Seed          uint64
	Zone          ident.ZoneID // of this router
	Model         ident.ModelID
	Prompt        ident.Tokens // 0 for a plain call
	Parts         []PromptPart
	TransferBytes int // estimated size of the request and its answer
	Exclude       []ident.EndpointID
	Remaining     time.Duration // time until the deadline, 0 for none
	// OtherBacklogs returns the backlog of other routers' requests at an
	// endpoint.
	OtherBacklogs func(ident.EndpointID) ModelBacklogs
}

// Decision is the result of Estimator.Choose.
type Decision struct {
	Index       int           // index of the chosen candidate, -1 for none
	HomeRank    int           // rank among the homes of the prompt's shared parts, see rankHomes; -1 if not a home
	Expected    time.Duration // expected time to the answer or first event
	Uncorrected time.Duration // Expected without the correction factor, the sum of Work and Wait
	Work        time.Duration // time that the endpoint spends on this request
	Wait        time.Duration // delay by other requests' prompts
	Uncached    ident.Tokens  // prompt tokens expected not to be cached
	Cost        time.Duration // cost by which candidates were compared
	TooLate     bool          // there are candidates, but none can answer before the deadline
	RetryAfter  time.Duration // time until a retry may succeed, if none was chosen
}

const (
	// maxCorrection bounds the correction factor of an endpoint whose first events
	// come late: they are delayed by queues, which drain.
	maxCorrection = 4.0
	// transferCostPerKB is the cost of a kilobyte moved between zones.
	transferCostPerKB = time.Millisecond
	// workWeight is the extra weight of work over waiting: work also delays the
	// requests that come after.
	workWeight = 0.7
	// failureCost is the cost of a failure rate of 1 above the average.
	failureCost = 2 * time.Second
	// costJitter is the largest relative jitter of a cost. It separates
	// candidates of nearly equal cost, so that routers with the same view do not
	// all choose the same one.
	costJitter = 0.05
	// sampledCandidates is the mean number of candidates that are sampled besides
	// the homes.
	sampledCandidates = 3.0
	// resampleFactor multiplies the sampling rate if no candidate was found.
	resampleFactor = 3.0
	// refusedRetryAfter is the least time until a retry if every candidate has
	// just refused.
	refusedRetryAfter = 200 * time.Millisecond
)

// assumedCached is the fraction of a prompt's shared parts that is assumed to be
// cached at its homes, by rank, although this router has not sent them there.
var assumedCached = [...]float64{0.2, 0.1, 0.05}

// Choose chooses a candidate of low cost. It is made for long prompts with
// shared parts under load: a request goes where its parts are cached, unless the
// queue there costs more than prefill elsewhere. Rendezvous hashing gives all
// routers the same homes of a shared prefix without coordination. What overloads
// the first home goes to the second, so that few endpoints compute the prefix.
// Besides the homes, each request considers a few randomly sampled candidates
// only: many routers with the same knowledge of all candidates would all send to
// the best one until they learn of each other's requests.
func (e *Estimator) Choose(now time.Time, candidates []Candidate, q Query, loads *LoadTracker, prefixes *PrefixIndex) Decision {
	hashes := HashParts(q.Model, q.Parts)
	sel := selection{now: now, candidates: candidates, query: q, loads: loads, prefixes: prefixes, hashes: hashes, homes: rankHomes(candidates, hashes)}
	rate := sampledCandidates / float64(max(1, len(candidates)))
	for _, sampleRate := range [...]float64{rate, resampleFactor * rate, 1} {
		if d, ok := e.bestCandidate(&sel, sampleRate); ok {
			return d.withinDeadline(q.Remaining)
		}
	}
	return Decision{Index: -1, RetryAfter: max(sel.soonest, refusedRetryAfter)}
}

// selection is the state of one call of Choose.
type selection struct {
	now        time.Time
	candidates []Candidate
	query      Query
	loads      *LoadTracker
	prefixes   *PrefixIndex
	hashes     []uint64
	homes      homeRanking
	soonest    time.Duration // shortest backoff of the candidates that refused, 0 if there is none
}

// bestCandidate returns the candidate of the least cost among the homes, the
// candidates that have cached a prefix of the prompt, and a random sample of the
// others.
func (e *Estimator) bestCandidate(sel *selection, sampleRate float64) (Decision, bool) {
	best := Decision{Index: -1}
	for i := range sel.candidates {
		c := &sel.candidates[i]
		if excluded(sel.query.Exclude, c.Endpoint) {
			continue
		}
		l := sel.loads.Load(sel.now, c.Endpoint, time.Time{})
		switch {
		case l.Backoff > 0:
			if sel.soonest == 0 || l.Backoff < sel.soonest {
				sel.soonest = l.Backoff
			}
		case sel.homes.rank(i) >= 0, unitHash(^sel.query.Seed, c.Endpoint) < sampleRate, sel.prefixes.Cached(c.Endpoint, sharedHashes(sel.hashes)) > 0:
			if d := e.evaluate(sel.now, i, c, sel.query, l, sel.hashes, sel.homes, sel.prefixes); best.Index < 0 || d.Cost < best.Cost {
				best = d
			}
		}
	}
	return best, best.Index >= 0
}

// withinDeadline returns the decision if the candidate can answer in the
// remaining time, and else one without a candidate. It ignores the correction
// factor, which is too inaccurate to refuse a request.
func (d Decision) withinDeadline(remaining time.Duration) Decision {
	if remaining > 0 && d.Uncorrected > remaining {
		return Decision{Index: -1, TooLate: true, RetryAfter: d.Uncorrected - remaining}
	}
	return d
}

// sharedHashes returns the hashes of the parts that other prompts may share, all
// but the last.
func sharedHashes(hashes []uint64) []uint64 {
	if len(hashes) < 2 {
		return nil
	}
	return hashes[:len(hashes)-1]
}

// evaluate returns the decision for one candidate, with its cost.
func (e *Estimator) evaluate(now time.Time, at int, c *Candidate, q Query, l Load, hashes []uint64, homes homeRanking, prefixes *PrefixIndex) Decision {
	d := Decision{Index: at, HomeRank: homes.rank(at)}
	if q.Prompt > 0 {
		d.Uncached = max(0, q.Prompt-cachedTokens(c, q, hashes, d.HomeRank, prefixes))
	}
	work := e.firstEventTime(q.Model, d.Uncached)
	var others ModelBacklogs
	if q.OtherBacklogs != nil {
		others = q.OtherBacklogs(c.Endpoint)
	}
	wait := e.queueDelay(e.totalBacklog(c.Endpoint, others), d.Uncached)
	d.Uncorrected, d.Work, d.Wait = work+wait, work, wait
	d.Expected = time.Duration(float64(d.Uncorrected) * min(l.Correction, maxCorrection))
	occupancy := 1.0
	if c.Slots > 0 {
		occupancy += float64(l.Running) / float64(c.Slots)
	}
	d.Cost = time.Duration(float64(d.Expected)*occupancy) + time.Duration(float64(work)*workWeight) + time.Duration(e.excessFailureRate(now, c.Endpoint)*float64(failureCost))
	if c.Zone != q.Zone {
		d.Cost += zonePenalty + transferCostPerKB*time.Duration(q.TransferBytes/1024)
	}
	d.Cost = time.Duration(float64(d.Cost) * (1 + costJitter*unitHash(q.Seed, c.Endpoint)))
	return d
}

// cachedTokens returns the number of prompt tokens that the candidate is expected
// to have cached.
func cachedTokens(c *Candidate, q Query, hashes []uint64, rank int, prefixes *PrefixIndex) ident.Tokens {
	prefix := sharedHashes(hashes)
	if len(prefix) == 0 {
		return 0
	}
	known := ident.Tokens(0)
	for i := range prefixes.Cached(c.Endpoint, prefix) {
		known += q.Parts[i].Tokens
	}
	if rank < 0 {
		return known
	}
	assumed := assumedCached[rank]
	if c.NewVersion {
		assumed *= newVersionFactor
	}
	all := ident.Tokens(0)
	for i := range prefix {
		all += q.Parts[i].Tokens
	}
	return max(known, ident.Tokens(float64(all)*assumed))
}

// newVersionFactor scales assumedCached for endpoints of a version on trial,
// which may not have received the prompt yet.
const newVersionFactor = 0.5

// homeRanking holds the indexes of the candidates that are the homes of a
// prompt's shared parts, -1 where there is none.
type homeRanking [len(assumedCached)]int

// rank returns a candidate's rank, or -1 if it is not a home.
func (r homeRanking) rank(candidate int) int {
	for i, at := range r {
		if at == candidate {
			return i
		}
	}
	return -1
}

// rankHomes returns the homes of a prompt's shared parts: the candidates with the
// highest weights in rendezvous hashing.
func rankHomes(candidates []Candidate, hashes []uint64) homeRanking {
	var best homeRanking
	var weights [len(best)]uint64
	for i := range best {
		best[i] = -1
	}
	if len(hashes) < 2 {
		return best
	}
	for i := range candidates {
		w := mixHash(hashes[len(hashes)-2], candidates[i].Endpoint)
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

// mixHash returns a hash of the endpoint and the seed.
func mixHash(seed uint64, endpoint ident.EndpointID) uint64 {
	return mixBits(xxhash.Sum64String(string(endpoint)) ^ seed)
}

// mixBits spreads a difference in any bit of x over all bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// unitHash returns a hash of the endpoint and the seed in [0, 1).
func unitHash(seed uint64, endpoint ident.EndpointID) float64 {
	return float64(mixHash(seed, endpoint)>>40) / float64(1<<24)
}
