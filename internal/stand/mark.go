package stand

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var markPattern = regexp.MustCompile(`\[quality=([01]\.[0-9]{2})\]`)

// QualityMark gives the text at the end of an answer by which the rater knows
// its quality, to two decimal places.
func QualityMark(quality ident.Quality) string {
	return fmt.Sprintf("[quality=%.2f]", float64(quality))
}

// MarkedQuality reads the last quality mark of an answer. An answer without
// one, such as an empty or a cut one, has quality 0.
func ParseQualityMark(answer string) ident.Quality {
	found := markPattern.FindAllStringSubmatch(answer, -1)
	if len(found) == 0 {
		return 0
	}
	quality, err := strconv.ParseFloat(found[len(found)-1][1], 64)
	if err != nil {
		return 0
	}
	return ident.Quality(quality)
}
