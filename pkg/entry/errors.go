package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/identify"
)

// retryAfterFailure is the Retry-After when no endpoint accepted or completed a request.
const retryAfterFailure = 2 * time.Second

// unavailable returns a 503 error for a request that was not run.
func unavailable(code, message string, after time.Duration) *apierror.Error {
	return &apierror.Error{
		Status: http.StatusServiceUnavailable, Type: apierror.TypeServer,
		Code: code, Message: message, Run: apierror.NotRun, RetryAfter: after,
	}
}

// translate converts the errors of the pipeline stages into API errors.
func (s *Server) translate(err error) *apierror.Error {
	var refusal *admit.Refusal
	var coded echo.HTTPStatusCoder
	switch {
	case errors.As(err, &refusal):
		return &apierror.Error{
			Status: http.StatusTooManyRequests, Type: apierror.TypeRateLimit, Code: "over_limit",
			Message: refusal.Reason, Run: apierror.NotRun, RetryAfter: refusal.RetryAfter,
		}
	case errors.Is(err, identify.ErrNoKey), errors.Is(err, identify.ErrUnknownKey):
		return &apierror.Error{
			Status: http.StatusUnauthorized, Type: apierror.TypeAuthentication, Code: "invalid_api_key",
			Message: "no workspace has this key", Run: apierror.NotRun,
		}
	case errors.Is(err, dispatch.ErrNotAllowed):
		return &apierror.Error{
			Status: http.StatusForbidden, Type: apierror.TypePermission, Code: "no_place_allowed",
			Message: "the configuration in force allows no place for this work", Run: apierror.NotRun,
		}
	case errors.Is(err, dispatch.ErrDiverged):
		return errPositionUnknown()
	case errors.Is(err, dispatch.ErrRejected):
		return apierror.Invalid(http.StatusBadRequest, "rejected_by_engine", "the model engine rejects the request")
	case errors.Is(err, dispatch.ErrNotRun):
		return unavailable("no_endpoint", "no endpoint could take the request", retryAfterFailure)
	case errors.As(err, &coded):
		return apierror.Invalid(coded.StatusCode(), "bad_request", http.StatusText(coded.StatusCode()))
	}
	return &apierror.Error{
		Status: http.StatusBadGateway, Type: apierror.TypeServer, Code: "gave_up",
		Message: "the request could not be finished", Run: apierror.RunUnknown, RetryAfter: retryAfterFailure,
	}
}
