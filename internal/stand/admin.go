package stand

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// adminRoutes adds reading and switching of faults and reading of records,
// all as JSON.
func adminRoutes[F, R any](e *echo.Echo, faults func() F, set func(F), record func() R) {
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

// newEcho gives a server of bounded request bodies that prints nothing.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.BodyLimit("16M"))
	return e
}

// cutConnection ends a request without an answer.
func cutConnection() {
	panic(http.ErrAbortHandler)
}

// fault is the JSON form of an error answer.
type fault struct {
	Error faultBody `json:"error"`
}

type faultBody struct {
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
}

func refuse(c echo.Context, status int, code, ran, message string) error {
	return c.JSON(status, fault{Error: faultBody{Code: code, Ran: ran, Message: message}})
}
