package pass

import (
	"github.com/marigoldscale/marigoldscale/internal/paths"
)

// Ladder gives the models to try for a request, the first one first. It is
// empty if the caller or nobody names the model.
func Ladder(q Request, _ *paths.Service) []Rung {
	models := q.Route.Models
	if len(models) == 0 || q.Model != AnyModel {
		return nil
	}
	return []Rung{{Model: models[0], Accept: accept}, {Model: models[len(models)-1]}}
}

const accept = 40
