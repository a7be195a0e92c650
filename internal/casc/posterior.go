package casc

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// priorRatings is the weight of a model's declared quality, in ratings.
const priorRatings = 4

// trustStandardErrors is the number of standard errors by which a model's mean
// quality must exceed the target for its unrated answers to be trusted. It is
// the 95% quantile of the normal distribution.
const trustStandardErrors = 1.645

// ratingReliability is the share of the variance of ratings within a class that
// is due to the quality of the answers, and not to the rater's error.
const ratingReliability = 0.75

// posterior is the posterior distribution of a model's quality within a class,
// over quality levels.
type posterior struct {
	probabilities [QualityLevels]float64 // sum to 1
	weight        float64                // in ratings, including the prior
}

// posterior combines a model's declared quality with the ratings received.
func (e *Estimates) posterior(now time.Time, key Key, declared ident.Quality) posterior {
	b := posterior{probabilities: binomialPrior(float64(declared)), weight: priorRatings}
	c, ok := e.cells[key]
	if !ok {
		return b
	}
	ratings := c.total.totalWeight(now)
	if ratings <= 0 {
		return b
	}
	factor := decayFactor(now.Sub(c.total.At))
	b.weight += ratings
	for i := range b.probabilities {
		b.probabilities[i] = (b.probabilities[i]*priorRatings + c.total.Weights[i]*factor) / b.weight
	}
	return b
}

// Expected returns the mean quality of a model within a class, and a lower bound
// of the mean with a confidence of about 95%.
func (e *Estimates) Expected(now time.Time, key Key, declared ident.Quality) (mean, lower ident.Quality) {
	b := e.posterior(now, key, declared)
	return ident.Quality(b.mean()), ident.Quality(b.lowerBound())
}

func (b *posterior) mean() float64 {
	_, quality := b.upperTail(0)
	return quality
}

// lowerBound returns the lower confidence bound of the mean.
func (b *posterior) lowerBound() float64 {
	return b.mean() - trustStandardErrors*b.standardError()
}

// standardError returns the standard error of the mean.
func (b *posterior) standardError() float64 {
	mean := b.mean()
	variance := 0.0
	for i, p := range b.probabilities {
		d := levelQuality(i) - mean
		variance += p * d * d
	}
	return math.Sqrt(variance / b.weight)
}

// upperTail returns the probability of a quality of at least a level, and the
// contribution of such answers to the mean.
func (b *posterior) upperTail(from int) (probability, quality float64) {
	for i := from; i < QualityLevels; i++ {
		probability += b.probabilities[i]
		quality += b.probabilities[i] * levelQuality(i)
	}
	return probability, quality
}

// accepted returns the probability of a rating of at least a level, and the
// contribution of such answers to the mean quality. Answers above a threshold are
// rated too high on average because of the rater's error, so their quality is
// shrunk towards the mean.
func (b *posterior) accepted(from int) (probability, quality float64) {
	probability, rated := b.upperTail(from)
	return probability, ratingReliability*rated + (1-ratingReliability)*probability*b.mean()
}

// levelQuality returns the quality of a level.
func levelQuality(i int) float64 {
	return float64(i) / (QualityLevels - 1)
}

// binomialPrior returns the binomial distribution over quality levels with the
// given mean.
func binomialPrior(mean float64) [QualityLevels]float64 {
	p := math.Min(0.999, math.Max(0.001, mean))
	var probabilities [QualityLevels]float64
	probabilities[0] = math.Pow(1-p, QualityLevels-1)
	for i := 1; i < QualityLevels; i++ {
		probabilities[i] = probabilities[i-1] * p / (1 - p) * float64(QualityLevels-i) / float64(i)
	}
	return probabilities
}
