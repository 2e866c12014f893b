package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/forward"
)

// Retry-After values for callers of plain services.
const (
	// retryAfterLedger is sent if the idempotency key could not be recorded.
	retryAfterLedger = time.Second
	// retryAfterUnknown is sent if the outcome is unknown or can't be read yet.
	retryAfterUnknown = 2 * time.Second
)

// serviceError converts the errors of plain services into API errors.
func serviceError(err error) *apierror.Error {
	switch {
	case errors.Is(err, forward.ErrNotAllowed):
		return &apierror.Error{
			Status: http.StatusForbidden, Type: apierror.TypePermission, Code: "no_place_allowed",
			Message: "the configuration in force allows no place for this work", Run: apierror.NotRun,
		}
	case errors.Is(err, forward.ErrNotRun):
		return unavailable("no_endpoint", "no endpoint could take the request", retryAfterFailure)
	case errors.Is(err, forward.ErrNotRecorded):
		return unavailable("key_not_recorded", "the idempotency key can't be recorded now", retryAfterLedger)
	case errors.Is(err, forward.ErrKeyReused):
		return apierror.Invalid(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key belongs to another request")
	case errors.Is(err, forward.ErrTooLarge):
		return ranError(http.StatusBadGateway, "answer_too_large", "the service's answer is larger than the limit", 0)
	case errors.Is(err, forward.ErrAnswerLost):
		return ranError(http.StatusServiceUnavailable, "answer_not_readable", "the request ran; its answer can't be read now", retryAfterUnknown)
	}
	return &apierror.Error{
		Status: http.StatusBadGateway, Type: apierror.TypeServer, Code: "outcome_unknown",
		Message: "the request may have been run", Run: apierror.RunUnknown, RetryAfter: retryAfterUnknown,
	}
}

// ranError returns the error for a request that an endpoint ran.
func ranError(status int, code, message string, after time.Duration) *apierror.Error {
	return &apierror.Error{
		Status: status, Type: apierror.TypeServer, Code: code, Message: message,
		Run: apierror.Ran, RetryAfter: after,
	}
}
