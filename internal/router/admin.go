package router

import (
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// adminTimeout limits the time for reading an admin request.
	adminTimeout = 5 * time.Second
	// withdrawTimeout limits how long the reply to a withdrawal waits for the peers'
	// acknowledgements.
	withdrawTimeout = 3 * time.Second
)

// adminServer returns the HTTP server for the admin address.
func (r *Router) adminServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", r.handleReady)
	e.GET("/metrics", r.handleMetrics)
	e.GET("/v1/status", r.handleStatus)
	e.POST("/v1/explain", r.handleExplain)
	e.POST("/v1/withdraw", r.handleWithdraw)
	server := &http.Server{Handler: e, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout}
	config, err := peers.TLS(peers.TLSFiles{Cert: r.settings.TLS.Cert, Key: r.settings.TLS.Key, CA: r.settings.TLS.CA})
	if err == nil && config != nil {
		r.adminListener = newTLSListener(r.adminListener, config)
	}
	return server
}

func (r *Router) handleReady(c echo.Context) error {
	v := r.view.Load()
	if v == nil || !v.Ready(time.Now()) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (r *Router) handleMetrics(c echo.Context) error {
	r.stats.export(r.metrics)
	r.bounds.export()
	r.metrics.Gauge("requests_open", int64(r.server.InProgress()))
	r.metrics.Gauge("journal_pending", int64(len(r.journal.Pending())))
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	return r.metrics.Expose(c.Response())
}

func (r *Router) handleStatus(c echo.Context) error {
	current, ok := r.Status(time.Now())
	if !ok {
		return c.JSON(http.StatusServiceUnavailable, status.ErrorResponse{Error: "no configuration is in force on this router yet; publish one"})
	}
	return c.JSON(http.StatusOK, current)
}

// Status returns this router's view of the fleet. It returns false until the
// router has a configuration.
func (r *Router) Status(now time.Time) (status.Status, bool) {
	v := r.view.Load()
	if v == nil {
		return status.Status{}, false
	}
	return r.newStatus(now, v), true
}

// Generation returns the generation that this router has applied, or 0 for none.
func (r *Router) Generation() ident.Generation {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	return v.Config.Generation
}

func (r *Router) newStatus(now time.Time, v *ctrl.View) status.Status {
	s := status.Status{
		Self:       v.Self.ID,
		At:         now,
		Digest:     v.Config.Digest,
		StaleAfter: r.settings.Times.Stale,
		Routers:    v.KnownRouters,
		Endpoints:  []status.Endpoint{},
		Zones:      []status.Zone{},
		Rollouts:   []status.Rollout{},
		Withdrawn:  []status.WithdrawnEntry{},
		Platform:   v.Platform,
	}
	for _, e := range v.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus(e))
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].ID < s.Endpoints[j].ID })
	for _, z := range v.Config.Zones {
		s.Zones = append(s.Zones, r.zoneStatus(now, v, z))
	}
	sort.Slice(s.Zones, func(i, j int) bool { return s.Zones[i].ID < s.Zones[j].ID })
	for _, rollout := range v.Config.Rollouts {
		s.Rollouts = append(s.Rollouts, rolloutStatus(v, rollout))
	}
	sort.Slice(s.Rollouts, func(i, j int) bool { return s.Rollouts[i].Model < s.Rollouts[j].Model })
	for _, w := range v.Withdrawn {
		s.Withdrawn = append(s.Withdrawn, status.WithdrawnEntry(w))
	}
	sort.Slice(s.Withdrawn, func(i, j int) bool { return s.Withdrawn[i].Release.String() < s.Withdrawn[j].Release.String() })
	return s
}

func endpointStatus(e *fleet.Endpoint) status.Endpoint {
	s := status.Endpoint{
		ID:       e.Spec.ID,
		Zone:     e.Spec.Zone,
		Service:  e.Spec.Service,
		Phase:    phaseName(e.Phase),
		Leaving:  e.Leaving,
		Running:  e.Report.Running,
		Waiting:  e.Report.Waiting,
		Slots:    e.Spec.Slots,
		Reported: e.ReportedAt,
	}
	if e.Spec.Service == "" {
		s.Release = e.Spec.Release.String()
	}
	return s
}

func phaseName(p fleet.Phase) string {
	switch p {
	case fleet.PhaseWarm:
		return "warm"
	case fleet.PhaseDown:
		return "down"
	default:
		return "cold"
	}
}

func (r *Router) zoneStatus(now time.Time, v *ctrl.View, z *fleet.Zone) status.Zone {
	s := status.Zone{ID: z.ID, Out: z.Out}
	for _, e := range v.Endpoints {
		if e.Spec.Zone != z.ID {
			continue
		}
		s.Endpoints++
		s.Inflight += r.loads.Load(now, e.Spec.ID, e.ReportedAt).Running
	}
	return s
}

func rolloutStatus(v *ctrl.View, rollout *fleet.Rollout) status.Rollout {
	s := status.Rollout{
		Model:   rollout.Model,
		To:      rollout.To,
		Steps:   len(rollout.Steps),
		Paused:  rollout.Paused,
		Aborted: rollout.Aborted,
	}
	state, ok := v.Rollouts[rollout.Model]
	if !ok || state.To != rollout.To {
		return s
	}
	s.Step = state.Step
	s.Entered = state.Entered
	s.Full = state.Full
	s.Share = 1
	if state.Step < len(rollout.Steps) {
		s.Share = rollout.Steps[state.Step].Share
	}
	return s
}

// handleWithdraw withdraws a release and replies with the routers that have
// acknowledged the withdrawal.
func (r *Router) handleWithdraw(c echo.Context) error {
	var request status.WithdrawRequest
	if err := c.Bind(&request); err != nil {
		return c.JSON(http.StatusBadRequest, status.ErrorResponse{Error: "body is not a withdrawal: " + err.Error()})
	}
	v := r.view.Load()
	if v == nil {
		return c.JSON(http.StatusServiceUnavailable, status.ErrorResponse{Error: "no configuration is in force on this router yet"})
	}
	if m, ok := v.Config.Models[request.Release.Model]; !ok || !hasVersion(m, request.Release.Version) {
		return c.JSON(http.StatusNotFound, status.ErrorResponse{Error: "release " + request.Release.String() + " is not declared"})
	}
	r.log.Info("operator withdraws release", zap.String("release", request.Release.String()), zap.String("by", request.By))
	r.submitEvent(ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: request.Release, Reason: request.Reason, At: time.Now(), By: request.By}})
	return c.JSON(http.StatusOK, r.awaitWithdrawal(c, request.Release))
}

func hasVersion(m *fleet.Model, version ident.VersionID) bool {
	for _, v := range m.Versions {
		if v == version {
			return true
		}
	}
	return false
}

// awaitWithdrawal waits until every live router has acknowledged a heartbeat with
// the withdrawal, for at most withdrawTimeout.
func (r *Router) awaitWithdrawal(c echo.Context, release ident.Release) status.WithdrawReply {
	const pollInterval = 25 * time.Millisecond
	deadline := time.Now().Add(withdrawTimeout)
	for {
		reply, all := r.view.Load().WithdrawalStatus(release)
		if all || time.Now().After(deadline) || c.Request().Context().Err() != nil {
			return reply
		}
		sleep(c.Request().Context(), pollInterval)
	}
}
