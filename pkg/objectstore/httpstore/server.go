package httpstore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Register adds routes to e that serve a store to Client.
func Register(e *echo.Echo, s objectstore.Store) {
	h := handler{store: s}
	e.GET("/objects", h.get)
	e.PUT("/objects", h.put)
	e.DELETE("/objects", h.delete)
	e.GET("/list", h.list)
	e.GET("/watch", h.watch)
}

type handler struct {
	store objectstore.Store
}

func (h handler) get(c *echo.Context) error {
	o, err := h.store.Get(c.Request().Context(), c.QueryParam("key"))
	return respond(c, o, err)
}

func (h handler) put(c *echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, objectstore.MaxValueBytes+1))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, key := c.Request().Context(), c.QueryParam("key")
	version, err := ifMatch(c)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if version == 0 {
		o, err := h.store.Create(ctx, key, value)
		o.Value = nil
		return respond(c, o, err)
	}
	o, err := h.store.Update(ctx, key, value, version)
	o.Value = nil
	return respond(c, o, err)
}

func (h handler) delete(c *echo.Context) error {
	version, err := ifMatch(c)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	err = h.store.Delete(c.Request().Context(), c.QueryParam("key"), version)
	return respond(c, struct{}{}, err)
}

func (h handler) list(c *echo.Context) error {
	out, err := h.store.List(c.Request().Context(), c.QueryParam("prefix"))
	if out == nil {
		out = []objectstore.Object{}
	}
	return respond(c, out, err)
}

func (h handler) watch(c *echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), WatchTimeout)
	defer cancel()
	if c.QueryParam(queryNoWait) != "" {
		ctx = objectstore.WithoutWaiting(ctx)
	}
	out, err := h.store.Watch(ctx, c.QueryParam("prefix"), after)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	return respond(c, out, err)
}

// ifMatch returns the version in the If-Match header; 0 if there is none.
func ifMatch(c *echo.Context) (uint64, error) {
	text := c.Request().Header.Get("If-Match")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// respond writes body as JSON, or the status code for err.
func respond(c *echo.Context, body any, err error) error {
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, body)
	case errors.Is(err, objectstore.ErrNotFound):
		return c.NoContent(http.StatusNotFound)
	case errors.Is(err, objectstore.ErrConflict):
		return c.NoContent(http.StatusConflict)
	case errors.Is(err, objectstore.ErrTooLarge):
		return c.NoContent(http.StatusRequestEntityTooLarge)
	case errors.Is(err, objectstore.ErrUnavailable):
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusInternalServerError)
}
