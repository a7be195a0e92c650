package roll

import "math"

// The tests use e-values (testing by betting). An e-value is the wealth of a
// bettor that starts with 1 and bets against the null hypothesis that the
// candidate is no worse. Under the null hypothesis the wealth is a
// supermartingale and exceeds 1/alpha at any time with probability at most alpha
// (Ville's inequality), so the evidence may be tested after every request. The
// e-value is the mean over several betting strategies.

// setBetFractions are the fractions of the wealth bet on each set of failures,
// one for each strategy.
var setBetFractions = [...]float64{0.03, 0.1, 0.3, 0.6, 0.9}

// setLogEValue returns the logarithm of the e-value of the candidate's failures.
// Under the null hypothesis, if m of the k+1 outcomes of a set failed, the
// candidate's is among them with probability at most m/(k+1).
func setLogEValue(c *Counters, first Counter) float64 {
	var logs [len(setBetFractions)]float64
	for _, size := range setSizes {
		for m := 1; m <= size+1; m++ {
			at := first + 2*Counter(positionOffset(size)+m-1)
			passed, failed := float64(c[at]), float64(c[at+1])
			if passed+failed == 0 {
				continue
			}
			odds := float64(size+1) / float64(m)
			for i, s := range setBetFractions {
				logs[i] += passed*math.Log1p(-s) + failed*math.Log1p(s*(odds-1))
			}
		}
	}
	return logMeanExp(logs[:])
}

// worstPositionCounts are the numbers of worst ranks that the strategies bet on
// in the largest set.
var worstPositionCounts = [...]int{1, 4, 8}

// rankBetFractions are the fractions of the wealth bet on each rank.
var rankBetFractions = [...]float64{0.1, 0.3, 0.8}

// rankLogEValue returns the logarithm of the e-value of the candidate's ranks.
// Under the null hypothesis all ranks in a set are equally likely.
func rankLogEValue(c *Counters, first Counter) float64 {
	var logs [len(worstPositionCounts) * len(rankBetFractions)]float64
	for _, size := range setSizes {
		at := first + Counter(positionOffset(size))
		ranks := c[at : at+Counter(size)+1]
		for i, t := range worstPositionCounts {
			// Smaller sets use the same fraction of ranks, at least one.
			top := max(1, t*len(ranks)/(setSizes[0]+1))
			lost, won := sumCounts(ranks[:len(ranks)-top]), sumCounts(ranks[len(ranks)-top:])
			if lost+won == 0 {
				continue
			}
			odds := float64(len(ranks)) / float64(top)
			for j, s := range rankBetFractions {
				logs[i*len(rankBetFractions)+j] += won*math.Log1p(s*(odds-1)) + lost*math.Log1p(-s)
			}
		}
	}
	return logMeanExp(logs[:])
}

func sumCounts(counts []uint64) float64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return float64(total)
}

// logMeanExp returns the logarithm of the mean of e-values, from their
// logarithms.
func logMeanExp(logs []float64) float64 {
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
