package entry

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// serveCallStyle serves the paths of the configured call styles; any other path is answered with 404.
func (s *Server) serveCallStyle(c *echo.Context) error {
	env := s.Config.Current()
	if env == nil {
		return notFound(c)
	}
	style, ok := findCallStyle(&env.Document, c.Request().URL.Path)
	if !ok || c.Request().Method != http.MethodPost {
		return notFound(c)
	}
	env, w, err := s.identifyCallerByHeader(c, style.KeyHeader)
	if err != nil {
		return err
	}
	if style.Service != "" {
		return s.serveServiceCallStyle(c, env, w, style)
	}
	return s.serveModelCallStyle(c, env, w, style)
}

func findCallStyle(doc *config.Document, path string) (*config.CallStyle, bool) {
	for i := range doc.CallStyles {
		if doc.CallStyles[i].Path == path {
			return &doc.CallStyles[i], true
		}
	}
	return nil, false
}

// serveServiceCallStyle forwards a call to a plain service.
func (s *Server) serveServiceCallStyle(c *echo.Context, env *config.Envelope, w *config.Workspace, style *config.CallStyle) error {
	svc, ok := env.Document.ServiceByName(style.Service)
	if !ok {
		return serviceNotFound(style.Service)
	}
	header := style.IdempotencyHeader
	if header == "" {
		header = headerIdempotencyKey
	}
	return s.serveService(c, env, w, svc, servicePath{plain: style.ServicePath}, c.Request().Header.Get(header))
}

// serveModelCallStyle converts a JSON body with one prompt field into a chat
// request, and the response text into a JSON body with one answer field.
func (s *Server) serveModelCallStyle(c *echo.Context, env *config.Envelope, w *config.Workspace, style *config.CallStyle) error {
	var body map[string]json.RawMessage
	if err := readJSON(c, &body); err != nil {
		return err
	}
	prompt, err := stringField(body, style.PromptField)
	if err != nil {
		return err
	}
	job := flight.Job{Model: style.Model, Seed: seed(nil, requestIDOf(c))}
	if _, ok := body["model"]; ok {
		if job.Model, err = stringField(body, "model"); err != nil {
			return err
		}
	}
	job.Messages = []engine.Message{{Role: "user", Content: prompt}}
	return s.serveModel(c, env, w, job, responseFormat{answerField: style.AnswerField})
}

// stringField returns a field of the body, which must be a non-empty string.
func stringField(body map[string]json.RawMessage, name string) (string, error) {
	var text string
	if err := json.Unmarshal(body[name], &text); err != nil || text == "" {
		e := apierror.Invalid(http.StatusBadRequest, "missing_field", "the field "+name+" must hold a text")
		e.Param = name
		return "", e
	}
	return text, nil
}

// notFound returns the error for an unknown path.
func notFound(c *echo.Context) error {
	return apierror.Invalid(http.StatusNotFound, "unknown_url", "no such path: "+c.Request().URL.Path)
}
