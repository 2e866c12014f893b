package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admit"
	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/forward"
)

// Headers of calls to plain services.
const (
	// headerIdempotencyKey identifies a call that must run at most once.
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the stored response of an earlier request with the same key.
	headerReplayed = "Idempotent-Replayed"
)

// escapedSlash is a slash that doesn't separate segments, in upper case.
const escapedSlash = "%2F"

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// service serves ANY /services/{service}/...
func (s *Server) service(c *echo.Context) error {
	env, w, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	svc, ok := env.Document.ServiceByName(c.Param("service"))
	if !ok {
		return serviceNotFound(c.Param("service"))
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	u := c.Request().URL
	return s.serveService(c, env, w, svc, servicePath{plain: belowService(u.Path), escaped: belowService(u.EscapedPath())}, key)
}

// servicePath is a path below that of a service.
type servicePath struct {
	// plain is the unescaped path, and escaped the one that the caller sent; "" stands for the usual
	// escapes.
	plain, escaped string
}

// belowService returns the part of a path that follows /services/{service}.
func belowService(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	return "/" + rest
}

func serviceNotFound(name string) error {
	return apierror.Invalid(http.StatusNotFound, "service_not_found", "unknown service: "+name)
}

// serveService forwards a call to a plain service for an identified caller.
// idempotencyKey may be empty.
func (s *Server) serveService(c *echo.Context, env *config.Envelope, w *config.Workspace, svc *config.Service, path servicePath, idempotencyKey string) error {
	if svc.Kind != config.KindPlain || !w.MayCall(svc.Name) {
		return serviceNotFound(svc.Name)
	}
	if err := checkCall(path, idempotencyKey); err != nil {
		return err
	}
	if len(env.AllowedDataCentres(w)) == 0 {
		return serviceError(forward.ErrNotAllowed)
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	in := c.Request()
	deadline := s.Now().Add(svc.Deadline())
	release, err := s.Admitter.Admit(in.Context(), admit.Request{Workspace: w, Service: svc, Deadline: deadline, Priority: svc.Priority, Bytes: len(body)})
	if err != nil {
		return err
	}
	defer release()
	s.Metrics.countAccepted(string(svc.Kind))
	answer, err := s.Services.Do(in.Context(), &forward.Call{
		Workspace: w.Name, Service: svc, Method: in.Method, Path: path.plain, EscapedPath: path.escaped, Query: in.URL.RawQuery,
		ContentType: in.Header.Get("Content-Type"), Accept: in.Header.Get("Accept"),
		RequestID: requestIDOf(c), Key: idempotencyKey, Body: body, Deadline: deadline,
	})
	if err != nil {
		return serviceError(err)
	}
	return writeResponse(c, answer)
}

// checkCall refuses paths that an endpoint could normalise to a different path,
// because the path determines whether the call may be retried. It also refuses
// idempotency keys that are too long.
func checkCall(path servicePath, idempotencyKey string) error {
	if !config.ValidServicePath(path.plain) || strings.Contains(strings.ToUpper(path.escaped), escapedSlash) {
		return apierror.Invalid(http.StatusBadRequest, "invalid_path", "the path must not hold empty or dot segments, or escaped slashes")
	}
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return apierror.Invalid(http.StatusBadRequest, "invalid_idempotency_key", "the idempotency key is longer than 255 bytes")
	}
	return nil
}

func writeResponse(c *echo.Context, a *forward.Answer) error {
	h := c.Response().Header()
	h.Set(apierror.HeaderRun, string(apierror.Ran))
	if a.Replayed {
		h.Set(headerReplayed, "true")
	}
	setWriteDeadline(c)
	return c.Blob(a.Status, a.ContentType, a.Body)
}
