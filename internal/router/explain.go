package router

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func newTLSListener(l net.Listener, config *tls.Config) net.Listener {
	return tls.NewListener(l, config)
}

// handleExplain replies with the endpoint that a request would be sent to and
// the reasons against the other endpoints and versions.
func (r *Router) handleExplain(c echo.Context) error {
	var request status.ExplainRequest
	if err := c.Bind(&request); err != nil {
		return c.JSON(http.StatusBadRequest, status.ErrorResponse{Error: "body is not a question: " + err.Error()})
	}
	v := r.view.Load()
	if v == nil {
		return c.JSON(http.StatusServiceUnavailable, status.ErrorResponse{Error: "no configuration is in force on this router yet"})
	}
	team, ok := v.Config.Teams[request.Team]
	if !ok {
		return c.JSON(http.StatusNotFound, status.ErrorResponse{Error: "team " + string(request.Team) + " does not exist"})
	}
	return c.JSON(http.StatusOK, r.explainRequest(time.Now(), v, team, request))
}

func (r *Router) explainRequest(now time.Time, v *ctrl.View, team *fleet.Team, request status.ExplainRequest) status.Explanation {
	if request.Service != "" {
		if !team.AllowsService(request.Service) {
			return status.Explanation{Refusal: "the team may not call the service", Choices: []status.Choice{}}
		}
		return r.explainEndpoints(now, v, route.Request{Service: request.Service})
	}
	return r.explainModel(now, v, team, request)
}

// explainModel explains all versions of the model, starting with the one assigned
// to the session.
func (r *Router) explainModel(now time.Time, v *ctrl.View, team *fleet.Team, request status.ExplainRequest) status.Explanation {
	model, ok := v.Config.Models[request.Model]
	if !ok {
		return status.Explanation{Refusal: "the model does not exist", Choices: []status.Choice{}}
	}
	seed := roll.SessionHash(ident.SessionKey{Team: request.Team, Session: request.Session})
	choice, ok := roll.Assign(seed, v.Snapshot, team, request.Model, v.Quota(request.Model))
	if !ok {
		return status.Explanation{Refusal: "the team may use no version of the model now", Choices: otherVersions(v, team, model, "")}
	}
	release := ident.Release{Model: request.Model, Version: choice.Version}
	explained := r.explainEndpoints(now, v, route.Request{Release: release, Seed: seed, Prompt: 1})
	explained.Choices = append(explained.Choices, otherVersions(v, team, model, choice.Version)...)
	return explained
}

func otherVersions(v *ctrl.View, team *fleet.Team, model *fleet.Model, chosen ident.VersionID) []status.Choice {
	choices := []status.Choice{}
	for _, version := range model.Versions {
		if version == chosen {
			continue
		}
		release := ident.Release{Model: model.ID, Version: version}
		c := status.Choice{Release: release.String(), Verdict: status.VerdictPossible, Reason: "another version is chosen for the session"}
		switch {
		case !team.Allows(release):
			c.Verdict, c.Reason = status.VerdictRefused, "the team may not use the version"
		case !v.Allowed(release):
			c.Verdict, c.Reason = status.VerdictRefused, "the version is withdrawn"
		}
		choices = append(choices, c)
	}
	return choices
}

// explainEndpoints explains all endpoints of a release or service, starting with
// the chosen one.
func (r *Router) explainEndpoints(now time.Time, v *ctrl.View, request route.Request) status.Explanation {
	explained := status.Explanation{Choices: []status.Choice{}}
	chosen := chosenEndpoint(route.Choose(now, v.Snapshot, request, r.loads, r.prefixes))
	for _, verdict := range route.Explain(now, v.Snapshot, request, r.loads, r.prefixes) {
		c := status.Choice{Service: request.Service, Endpoint: verdict.Endpoint, Zone: verdict.Zone, Reason: string(verdict.Reason)}
		if request.Service == "" {
			c.Release = request.Release.String()
		}
		switch {
		case verdict.Endpoint == chosen:
			c.Verdict = status.VerdictChosen
			explained.Chosen = &c
			explained.Choices = append([]status.Choice{c}, explained.Choices...)
			continue
		case verdict.Reason == route.ReasonFit || verdict.Reason == route.ReasonCold:
			c.Verdict = status.VerdictPossible
		default:
			c.Verdict = status.VerdictRefused
		}
		explained.Choices = append(explained.Choices, c)
	}
	if explained.Chosen == nil {
		explained.Refusal = "no endpoint can take the request now"
	}
	return explained
}

func chosenEndpoint(choice route.Choice) ident.EndpointID {
	switch c := choice.(type) {
	case route.Send:
		return c.Endpoint.Spec.ID
	case route.NeedPermit:
		return c.Endpoint.Spec.ID
	default:
		return ""
	}
}
