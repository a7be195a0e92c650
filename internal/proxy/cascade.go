package proxy

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// CascadeModels returns the models to try for a request, in order: the smallest,
// whose answer reports its confidence, then the largest. It returns nil if the
// router does not choose the model.
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
