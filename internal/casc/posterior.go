package casc

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// priorWeight is the number of ratings that a model's declared quality counts
// as.
const priorWeight = 4

// caution is the number of standard errors that a model's mean quality must
// lie above the target before its answers are trusted unrated.
const caution = 1.645

// reliability is the share of the ratings' variance within a class that the
// answers' own quality is expected to cause.
const reliability = 0.75

// belief is the posterior of a model's quality within a class: a distribution
// over levels.
type belief struct {
	part   [QualityLevels]float64 // adds up to 1
	weight float64                // ratings, the prior included
}

// believe joins a model's declared quality with the ratings seen.
func (e *Estimates) believe(now time.Time, key Key, declared ident.Quality) belief {
	b := belief{part: binomial(float64(declared)), weight: priorWeight}
	c, ok := e.cells[key]
	if !ok {
		return b
	}
	seen := c.total.sum(now)
	if seen <= 0 {
		return b
	}
	factor := decayFactor(now.Sub(c.total.At))
	b.weight += seen
	for i := range b.part {
		b.part[i] = (b.part[i]*priorWeight + c.total.Weights[i]*factor) / b.weight
	}
	return b
}

// Expected gives the mean quality of a model within a class and a bound that
// it lies above with a probability of about 95%.
func (e *Estimates) Expected(now time.Time, key Key, declared ident.Quality) (mean, lower ident.Quality) {
	b := e.believe(now, key, declared)
	return ident.Quality(b.mean()), ident.Quality(b.lower())
}

func (b *belief) mean() float64 {
	_, quality := b.above(0)
	return quality
}

// lower gives the lower bound of the mean.
func (b *belief) lower() float64 {
	return b.mean() - caution*b.doubt()
}

// doubt gives the standard error of the mean.
func (b *belief) doubt() float64 {
	mean := b.mean()
	variance := 0.0
	for i, p := range b.part {
		d := level(i) - mean
		variance += p * d * d
	}
	return math.Sqrt(variance / b.weight)
}

// above gives the chance of a quality of at least a level, and the part of the
// mean that such answers make up.
func (b *belief) above(from int) (chance, quality float64) {
	for i := from; i < QualityLevels; i++ {
		chance += b.part[i]
		quality += b.part[i] * level(i)
	}
	return chance, quality
}

// passed gives the chance of a rating of at least a level, and the part of the
// mean quality that such answers make up. The rater's own error lifts those
// that pass, so they are taken to be nearer to the mean than rated.
func (b *belief) passed(from int) (chance, quality float64) {
	chance, rated := b.above(from)
	return chance, reliability*rated + (1-reliability)*chance*b.mean()
}

func level(i int) float64 {
	return float64(i) / (QualityLevels - 1)
}

// binomial gives the binomial distribution over levels with the given mean.
func binomial(mean float64) [QualityLevels]float64 {
	p := math.Min(0.999, math.Max(0.001, mean))
	var part [QualityLevels]float64
	part[0] = math.Pow(1-p, QualityLevels-1)
	for i := 1; i < QualityLevels; i++ {
		part[i] = part[i-1] * p / (1 - p) * float64(QualityLevels-i) / float64(i)
	}
	return part
}
