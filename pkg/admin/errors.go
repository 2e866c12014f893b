package admin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// statuses maps error codes to HTTP status codes.
var statuses = map[api.Code]int{
	api.CodeUnauthenticated:  http.StatusUnauthorized,
	api.CodeForbidden:        http.StatusForbidden,
	api.CodeNotFound:         http.StatusNotFound,
	api.CodeInvalid:          http.StatusUnprocessableEntity,
	api.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	api.CodeIfMatchMissing:   http.StatusPreconditionFailed,
	api.CodeLostRace:         http.StatusConflict,
	api.CodeStoreUnavailable: http.StatusServiceUnavailable,
	api.CodeAuditUnavailable: http.StatusServiceUnavailable,
	api.CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	api.CodeInternal:         http.StatusInternalServerError,
}

func lostRaceError(current uint64) *api.Error {
	return &api.Error{
		Code: api.CodeLostRace, Revision: current,
		Message: fmt.Sprintf("another change came first: revision %d is in force; read it and try again", current),
	}
}

func invalidError(problems strictjson.Problems) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Message: "the change is not valid", Problems: problems}
}

func unknownOutcomeError(writeID string) *api.Error {
	return &api.Error{
		Code: api.CodeOutcomeUnknown, WriteID: writeID,
		Message: "the change may have taken effect; repeat it with the same write id, or see the audit trail",
	}
}

func reusedWriteIDError() *api.Error {
	return &api.Error{Code: api.CodeInvalid, Message: "the write id belongs to another change"}
}

// toAPIError converts an error to an API error.
func toAPIError(err error) *api.Error {
	var known *api.Error
	var problems strictjson.Problems
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &problems):
		return invalidError(problems)
	case errors.Is(err, auth.ErrNoKey):
		return &api.Error{Code: api.CodeUnauthenticated, Message: "a key is needed: Authorization: Bearer KEY"}
	case errors.Is(err, auth.ErrUnknownKey):
		return &api.Error{Code: api.CodeUnauthenticated, Message: "no operator has this key"}
	case errors.Is(err, ErrTooLarge):
		return &api.Error{Code: api.CodeTooLarge, Message: "the configuration is larger than the object API keeps"}
	case errors.Is(err, ErrStore):
		return &api.Error{Code: api.CodeStoreUnavailable, Message: "the platform's object API is unavailable; nothing was changed"}
	case errors.Is(err, audit.ErrUnavailable):
		return &api.Error{Code: api.CodeAuditUnavailable, Message: "the audit trail can't be reached; nothing was changed"}
	}
	return &api.Error{Code: api.CodeInternal, Message: http.StatusText(http.StatusInternalServerError)}
}

// writeError sends an error response; all errors pass through here.
func (s *Server) writeError(c *echo.Context, err error) {
	out := toAPIError(err)
	if code := echo.StatusCode(err); out.Code == api.CodeInternal && code != 0 {
		out = &api.Error{Code: api.CodeNotFound, Message: http.StatusText(code)}
	}
	if out.Code == api.CodeInternal {
		s.Log.Error("failed to handle admin request", "path", c.Request().URL.Path, "error", err.Error())
	}
	s.Metrics.countError(string(out.Code))
	h := c.Response().Header()
	switch out.Code {
	case api.CodeUnauthenticated:
		h.Set("WWW-Authenticate", "Bearer")
	case api.CodeStoreUnavailable, api.CodeAuditUnavailable:
		h.Set("Retry-After", strconv.Itoa(int(api.RetryAfter.Seconds())))
	}
	_ = c.JSON(statuses[out.Code], api.ErrorBody{Error: out})
}
