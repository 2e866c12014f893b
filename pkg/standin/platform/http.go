package platform

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/cloud/httpcloud"
)

// Register registers the cloud API under the paths that httpcloud.Client calls.
func Register(e *echo.Echo, c *Cloud) {
	h := handler{cloud: c}
	e.GET("/instances", h.list)
	e.POST("/instances", h.start)
	e.DELETE("/instances/:id", h.stop)
	e.GET("/notices", h.notices)
}

type handler struct {
	cloud *Cloud
}

func (h handler) list(c *echo.Context) error {
	out, err := h.cloud.List(c.Request().Context())
	if out == nil {
		out = []cloud.Instance{}
	}
	return respond(c, out, err)
}

func (h handler) start(c *echo.Context) error {
	var r cloud.StartRequest
	if err := c.Bind(&r); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	in, err := h.cloud.Start(c.Request().Context(), r)
	return respond(c, in, err)
}

func (h handler) stop(c *echo.Context) error {
	return respond(c, struct{}{}, h.cloud.Stop(c.Request().Context(), c.Param("id")))
}

func (h handler) notices(c *echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), httpcloud.NoticeWait)
	defer cancel()
	out, err := h.cloud.Notices(ctx, after)
	if out == nil {
		out = []cloud.Notice{}
	}
	return respond(c, out, err)
}

func respond(c *echo.Context, body any, err error) error {
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, body)
	case errors.Is(err, cloud.ErrRefused):
		return c.NoContent(http.StatusInsufficientStorage)
	case errors.Is(err, cloud.ErrUnavailable):
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusInternalServerError)
}
