package stand

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var markPattern = regexp.MustCompile(`\[quality=([01]\.[0-9]{2})\]`)

// QualityMark returns the text at the end of an answer that tells the rater its
// quality, to two decimal places.
func QualityMark(quality ident.Quality) string {
	return fmt.Sprintf("[quality=%.2f]", float64(quality))
}

// ParseQualityMark returns the quality in the last quality mark of an answer. An
// answer without a mark, such as an empty or truncated one, has quality 0.
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
