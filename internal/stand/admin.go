package stand

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// addAdminRoutes adds routes to read and replace the faults and to read the
// records, all as JSON.
func addAdminRoutes[F, R any](e *echo.Echo, faults func() F, set func(F), record func() R) {
	e.GET("/admin/faults", func(c echo.Context) error {
		return c.JSON(http.StatusOK, faults())
	})
	e.PUT("/admin/faults", func(c echo.Context) error {
		var f F
		if err := c.Bind(&f); err != nil {
			return fmt.Errorf("reading faults: %w", err)
		}
		set(f)
		return c.JSON(http.StatusOK, faults())
	})
	e.GET("/admin/runs", func(c echo.Context) error {
		return c.JSON(http.StatusOK, record())
	})
}

// newServer returns a server that limits request bodies and prints no banner.
func newServer() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.BodyLimit("16M"))
	return e
}

// abortConnection closes the connection of a request without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// errorResponse is the JSON body of an error response.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
}

func respondError(c echo.Context, status int, code, ran, message string) error {
	return c.JSON(status, errorResponse{Error: errorBody{Code: code, Ran: ran, Message: message}})
}
