package pass

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// Ladder gives the models to try for a request, the first one first: the
// smallest, whose answer tells how sure it is, and the largest in its place. It
// is empty if the model is not the router's to choose.
func CascadeModels(q Request) []ident.ModelID {
	models := q.Route.Models
	if len(models) == 0 || q.Model != AnyModel {
		return nil
	}
	if len(models) == 1 {
		return models
	}
	return []ident.ModelID{models[0], models[len(models)-1]}
}
