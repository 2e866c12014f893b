package entry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/openai"
)

// MaxTokens is the largest max_tokens that a request may set.
const MaxTokens = 131072

// DefaultMaxTokens is the limit for requests that set no max_tokens.
const DefaultMaxTokens = 1024

// models lists the models that the caller's workspace may use.
func (s *Server) models(c *echo.Context) error {
	env, w, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, svc := range env.Document.Services {
		if svc.Kind != config.KindModel || !w.MayCall(svc.Name) {
			continue
		}
		for _, m := range svc.Models {
			list.Data = append(list.Data, openai.Model{ID: m, Object: "model", OwnedBy: env.Document.Organisation})
		}
	}
	return writeJSON(c, list)
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c *echo.Context) error {
	var body openai.ChatRequest
	env, w, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if len(body.Messages) == 0 {
		return apierror.Invalid(http.StatusBadRequest, "missing_messages", "messages must not be empty")
	}
	if body.N > 1 {
		return apierror.Invalid(http.StatusBadRequest, "unsupported_n", "only one answer per request is supported")
	}
	job := flight.Job{Model: body.Model, MaxTokens: cmp.Or(body.MaxCompletionTokens, body.MaxTokens), Seed: seed(body.Seed, requestIDOf(c))}
	for _, m := range body.Messages {
		job.Messages = append(job.Messages, engine.Message{Role: m.Role, Content: string(m.Content)})
	}
	usage := body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	return s.serveModel(c, env, w, job, responseFormat{stream: body.Stream, usage: usage})
}

// completions serves POST /v1/completions.
func (s *Server) completions(c *echo.Context) error {
	var body openai.CompletionRequest
	env, w, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if body.Prompt == "" {
		return apierror.Invalid(http.StatusBadRequest, "missing_prompt", "prompt must not be empty")
	}
	job := flight.Job{Model: body.Model, MaxTokens: body.MaxTokens, Seed: seed(body.Seed, requestIDOf(c)), Text: true}
	job.Messages = []engine.Message{{Role: "user", Content: body.Prompt}}
	return s.serveModel(c, env, w, job, responseFormat{stream: body.Stream})
}

// serveModel admits a job, starts its flight and sends the response.
func (s *Server) serveModel(c *echo.Context, env *config.Envelope, w *config.Workspace, job flight.Job, r responseFormat) error {
	svc, ok := env.Document.ServiceByModel(job.Model)
	if !ok || !w.MayCall(svc.Name) {
		return apierror.Invalid(http.StatusNotFound, "model_not_found", "unknown model: "+job.Model)
	}
	if len(env.AllowedDataCentres(w)) == 0 {
		return &apierror.Error{
			Status: http.StatusForbidden, Type: apierror.TypePermission, Code: "no_place_allowed",
			Message: "the configuration in force allows no place for this work", Run: apierror.NotRun,
		}
	}
	if job.MaxTokens < 0 || job.MaxTokens > MaxTokens {
		return apierror.Invalid(http.StatusBadRequest, "invalid_max_tokens", "max_tokens must be between 1 and 131072")
	}
	if job.MaxTokens == 0 {
		job.MaxTokens = DefaultMaxTokens
	}
	now := s.Now()
	job.RequestID = requestIDOf(c)
	job.ID = flight.ScopedID(w.Name, job.RequestID)
	job.Workspace, job.Service, job.Priority = w.Name, svc.Name, svc.PriorityOf(job.Model)
	job.Deadline, job.Created, job.Revision = now.Add(svc.Deadline()), now.Unix(), env.Revision
	f, detach, err := s.startOrAttach(c, w, svc, job)
	if err != nil {
		return err
	}
	defer detach()
	pos, err := resumePosition(c.Request().Header)
	if err != nil {
		return err
	}
	return s.send(c, f, pos, r)
}

// readJSON reads the request body as readBody does and decodes it into out.
func readJSON(c *echo.Context, out any) error {
	data, err := readBody(c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return apierror.Invalid(http.StatusBadRequest, "invalid_json", "the body is not valid JSON: "+err.Error())
	}
	return nil
}

// readBody reads the request body, which must be at most MaxBodyBytes and
// arrive within BodyTimeout.
func readBody(c *echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(BodyTimeout))
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(c.Request().Body, MaxBodyBytes+1))
	if err != nil {
		return nil, apierror.Invalid(http.StatusRequestTimeout, "body_not_received", "the body was not received in time")
	}
	if n > MaxBodyBytes {
		return nil, apierror.Invalid(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than 1 MiB")
	}
	_ = rc.SetReadDeadline(time.Time{})
	return buf.Bytes(), nil
}

// seed returns the caller's seed, or one derived from the request id, so that
// every attempt samples the same tokens if the engine supports seeds.
func seed(given *int64, id string) uint64 {
	if given != nil {
		return uint64(*given)
	}
	return xxhash.Sum64String(id)
}
