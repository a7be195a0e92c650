package roll

import "math"

// An e-value is the wealth of a gambler who bets against the candidate being
// no worse, starting from 1. If it is no worse, the wealth is a supermartingale
// and exceeds 1/alpha at any time with probability of at most alpha (Ville's
// inequality), so that the evidence may be looked at after every request. The
// wealth is mixed over several strategies.

// stakes are the parts of the wealth bet on each set of failures.
var stakes = [...]float64{0.03, 0.1, 0.3, 0.6, 0.9}

// setWealth gives the logarithm of the e-value against the candidate's
// failures being more than its part. If m of k+1 outcomes of a set failed, the
// candidate's is among them with probability of at most m/(k+1).
func setWealth(c *Counters, first Counter) float64 {
	var logs [len(stakes)]float64
	for _, size := range setSizes {
		for m := 1; m <= size+1; m++ {
			at := first + 2*Counter(firstPlace(size)+m-1)
			spared, hit := float64(c[at]), float64(c[at+1])
			if spared+hit == 0 {
				continue
			}
			odds := float64(size+1) / float64(m)
			for i, s := range stakes {
				logs[i] += spared*math.Log1p(-s) + hit*math.Log1p(s*(odds-1))
			}
		}
	}
	return blend(logs[:])
}

// tops are the numbers of worst places, of those in the largest set, on which
// the wealth is bet.
var tops = [...]int{1, 4, 8}

// rankStakes are the parts of the wealth bet on each rank.
var rankStakes = [...]float64{0.1, 0.3, 0.8}

// rankWealth gives the logarithm of the e-value against the candidate's values
// being greater than its part. All places of a set are equally likely if the
// candidate is no worse.
func rankWealth(c *Counters, first Counter) float64 {
	var logs [len(tops) * len(rankStakes)]float64
	for _, size := range setSizes {
		at := first + Counter(firstPlace(size))
		ranks := c[at : at+Counter(size)+1]
		for i, t := range tops {
			// A small set has as large a part of worst places, at least one.
			top := max(1, t*len(ranks)/(setSizes[0]+1))
			lost, won := sum(ranks[:len(ranks)-top]), sum(ranks[len(ranks)-top:])
			if lost+won == 0 {
				continue
			}
			odds := float64(len(ranks)) / float64(top)
			for j, s := range rankStakes {
				logs[i*len(rankStakes)+j] += won*math.Log1p(s*(odds-1)) + lost*math.Log1p(-s)
			}
		}
	}
	return blend(logs[:])
}

func sum(counts []uint64) float64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return float64(total)
}

// blend gives the logarithm of the mean of wealths, from their logarithms.
func blend(logs []float64) float64 {
	best := math.Inf(-1)
	for _, l := range logs {
		best = math.Max(best, l)
	}
	total := 0.0
	for _, l := range logs {
		total += math.Exp(l - best)
	}
	return best + math.Log(total/float64(len(logs)))
}
