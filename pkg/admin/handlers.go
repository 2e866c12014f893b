package admin

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// defaultFile is the file name in error messages if the operator gives none.
const defaultFile = "configuration"

// currentConfig reads the configuration and sets the ETag header. It fails if
// there is no configuration yet.
func (s *Server) currentConfig(c *echo.Context) (*config.Envelope, error) {
	stored, err := s.Config.Read(c.Request().Context())
	if err != nil {
		return nil, err
	}
	if stored.Envelope == nil {
		return nil, &api.Error{Code: api.CodeNotFound, Message: "there is no configuration yet; apply one with If-Match \"0\""}
	}
	setETag(c, stored.Revision())
	return stored.Envelope, nil
}

func (s *Server) getConfig(c *echo.Context, _ auth.Operator) error {
	env, err := s.currentConfig(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Config{Revision: env.Revision, WriteID: env.WriteID, Preset: env.Preset, Document: env.Document})
}

func (s *Server) putConfig(c *echo.Context, o auth.Operator) error {
	ch, err := s.newChange(c, o, audit.ActionApply)
	if err != nil {
		return err
	}
	doc, problems, err := readDocument(c)
	if err != nil {
		return err
	}
	ch.problems = problems
	ch.next = func(current *config.Envelope) (string, *config.Document, strictjson.Problems) {
		preset := doc.InitialPreset
		if current != nil {
			preset = current.Preset
		}
		if problems := doc.CheckPresetInForce(preset); len(problems) > 0 {
			return "", nil, problems
		}
		return preset, doc, nil
	}
	return s.finishChange(c, ch)
}

func (s *Server) putPreset(c *echo.Context, o auth.Operator) error {
	ch, err := s.newChange(c, o, audit.ActionPreset)
	if err != nil {
		return err
	}
	data, err := readBody(c)
	if err != nil {
		return err
	}
	var request api.SwitchPreset
	ch.problems = problemsOf(strictjson.Decode("", data, &request))
	ch.next = func(current *config.Envelope) (string, *config.Document, strictjson.Problems) {
		if current == nil {
			return "", nil, strictjson.Problems{{Field: "preset", Message: "there is no configuration yet"}}
		}
		if _, ok := current.Document.PresetByName(request.Preset); !ok {
			return "", nil, strictjson.Problems{{Field: "preset", Message: "preset " + strconv.Quote(request.Preset) + " is not declared"}}
		}
		return request.Preset, &current.Document, nil
	}
	return s.finishChange(c, ch)
}

// newChange reads the headers that all changes have in common.
func (s *Server) newChange(c *echo.Context, o auth.Operator, action audit.Action) (change, error) {
	expected, err := ifMatch(c)
	if err != nil {
		return change{}, err
	}
	id, err := s.writeID(c)
	return change{operator: o, action: action, writeID: id, expected: expected}, err
}

// finishChange applies the change and responds with 200 if it is in force everywhere, else with 202.
func (s *Server) finishChange(c *echo.Context, ch change) error {
	out, err := s.apply(c.Request().Context(), ch)
	if err != nil {
		return err
	}
	setETag(c, out.Revision)
	if out.State == api.Stored {
		return c.JSON(http.StatusAccepted, out)
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) checkConfig(c *echo.Context, _ auth.Operator) error {
	_, problems, err := readDocument(c)
	if err != nil {
		return err
	}
	if problems == nil {
		problems = strictjson.Problems{}
	}
	return c.JSON(http.StatusOK, api.Check{Valid: len(problems) == 0, Problems: problems})
}

func (s *Server) diffConfig(c *echo.Context, _ auth.Operator) error {
	doc, problems, err := readDocument(c)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return invalidError(problems)
	}
	stored, err := s.Config.Read(c.Request().Context())
	if err != nil {
		return err
	}
	var from *config.Document
	if stored.Envelope != nil {
		from = &stored.Envelope.Document
	}
	changes := config.Diff(from, doc)
	if changes == nil {
		changes = []config.Change{}
	}
	return c.JSON(http.StatusOK, api.Diff{Revision: stored.Revision(), Changes: changes})
}

func (s *Server) getPresets(c *echo.Context, _ auth.Operator) error {
	env, err := s.currentConfig(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Presets{Revision: env.Revision, InForce: env.Preset, Presets: env.Document.Presets})
}

func (s *Server) getAudit(c *echo.Context, _ auth.Operator) error {
	limit, err := auditLimit(c.QueryParam("limit"))
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	stored, err := s.Config.Read(ctx)
	if err != nil {
		return err
	}
	records, err := s.Trail.List(ctx, stored.Envelope, limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Audit{Records: records})
}

func auditLimit(text string) (int, error) {
	if text == "" {
		return DefaultAuditLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > MaxAuditLimit {
		return 0, &api.Error{Code: api.CodeInvalid, Message: "limit must be from 1 to " + strconv.Itoa(MaxAuditLimit)}
	}
	return n, nil
}

// readDocument reads a configuration from the request body.
func readDocument(c *echo.Context) (*config.Document, strictjson.Problems, error) {
	data, err := readBody(c)
	if err != nil {
		return nil, nil, err
	}
	file, err := url.QueryUnescape(c.Request().Header.Get(api.HeaderFile))
	if err != nil || file == "" {
		file = defaultFile
	}
	doc := &config.Document{}
	return doc, problemsOf(strictjson.Decode(file, data, doc)), nil
}

func problemsOf(err error) strictjson.Problems {
	var problems strictjson.Problems
	errors.As(err, &problems)
	return problems
}

// readBody reads the request body, which must be at most MaxBodyBytes and arrive
// within BodyTimeout.
func readBody(c *echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(BodyTimeout))
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(c.Request().Body, MaxBodyBytes+1))
	if err != nil {
		return nil, &api.Error{Code: api.CodeInvalid, Message: "the body was not received"}
	}
	if n > MaxBodyBytes {
		return nil, &api.Error{Code: api.CodeTooLarge, Message: "the body is larger than " + strconv.Itoa(MaxBodyBytes) + " bytes"}
	}
	_ = rc.SetReadDeadline(time.Time{})
	return buf.Bytes(), nil
}
