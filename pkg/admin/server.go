// Package admin implements the HTTP API for operators, who read and change the
// shared configuration, switch presets, and view the state of the system and the
// audit trail. It is stateless; any number of processes may serve concurrently.
package admin

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"golang.org/x/time/rate"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Sleep waits for a duration or until the context ends.
type Sleep func(ctx context.Context, d time.Duration)

func realSleep(ctx context.Context, d time.Duration) { sleep.For(ctx, d) }

// Limits of the API.
const (
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes = 1 << 20
	// BodyTimeout bounds the time that an operator takes to send the body.
	BodyTimeout = 10 * time.Second
	// DefaultAuditLimit and MaxAuditLimit bound the audit records in one response.
	DefaultAuditLimit = 50
	MaxAuditLimit     = 1000
	// maxWriteIDBytes is the maximum length of a write id sent by the operator.
	maxWriteIDBytes = 64
	// refusalsPerSecond and refusalBurst limit how many refused changes are recorded
	// in the audit trail.
	refusalsPerSecond = 2
	refusalBurst      = 20
)

// Options holds the dependencies of a Server. All fields but NewID are required.
type Options struct {
	// ID names this process in the audit trail.
	ID        string
	Config    ConfigStore
	Fleet     Fleet
	Trail     *audit.Trail
	Store     objectstore.Store
	Cloud     cloud.Cloud
	Operators *auth.Operators
	// InForceWait is how long the response to a change waits until it is in force everywhere.
	InForceWait time.Duration
	Log         *slog.Logger
	Metrics     *Metrics
	Now         func() time.Time
	// NewID returns a new unique string at each call; nil means random UUIDs.
	NewID func() string
}

// Server serves operators' requests.
type Server struct {
	Options
	refusals *rate.Limiter
}

// New returns a server.
func New(o Options) *Server {
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return &Server{Options: o, refusals: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// Ready reports whether the server accepts requests. It is always true, since
// operators need the API during an outage too.
func (s *Server) Ready() bool { return true }

// Handler returns the HTTP handler for operators.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.GET(api.PathConfig, s.requireKey(s.getConfig))
	e.PUT(api.PathConfig, s.requireOperator(audit.ActionApply, s.putConfig))
	e.POST(api.PathCheck, s.requireKey(s.checkConfig))
	e.POST(api.PathDiff, s.requireKey(s.diffConfig))
	e.GET(api.PathPresets, s.requireKey(s.getPresets))
	e.PUT(api.PathPreset, s.requireOperator(audit.ActionPreset, s.putPreset))
	e.GET(api.PathStatus, s.requireKey(s.getStatus))
	e.GET(api.PathAudit, s.requireKey(s.getAudit))
	return e
}

// handler serves a request of an authenticated operator.
type handler func(c *echo.Context, o auth.Operator) error

// requireKey is middleware that authenticates the operator.
func (s *Server) requireKey(h handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		o, err := s.Operators.Authenticate(c.Request().Header)
		if err != nil {
			return err
		}
		return h(c, o)
	}
}

// requireOperator is middleware that refuses operators who may not change the
// configuration, and records the refusal in the audit trail.
func (s *Server) requireOperator(action audit.Action, h handler) echo.HandlerFunc {
	return s.requireKey(func(c *echo.Context, o auth.Operator) error {
		if o.MayOperate() {
			return h(c, o)
		}
		expected, _ := ifMatch(c)
		s.recordRejected(c.Request().Context(), s.newRecord(change{operator: o, action: action, expected: expected}, audit.Refused, "the role doesn't allow it"), nil)
		return &api.Error{Code: api.CodeForbidden, Message: "the role \"" + string(o.Role) + "\" may not change the configuration"}
	})
}

// ifMatch returns the revision in the If-Match header, which a change expects to be current.
func ifMatch(c *echo.Context) (uint64, error) {
	text := c.Request().Header.Get(api.HeaderIfMatch)
	if text == "" {
		return 0, &api.Error{Code: api.CodeIfMatchMissing, Message: "If-Match must name the revision to change, \"0\" for the first"}
	}
	revision, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, &api.Error{Code: api.CodeIfMatchMissing, Message: "If-Match must be a revision number"}
	}
	return revision, nil
}

// writeID returns the write id in the request, or a new one.
func (s *Server) writeID(c *echo.Context) (string, error) {
	id := c.Request().Header.Get(api.HeaderWriteID)
	if len(id) > maxWriteIDBytes {
		return "", &api.Error{Code: api.CodeInvalid, Message: "Idempotency-Key is longer than " + strconv.Itoa(maxWriteIDBytes) + " bytes"}
	}
	if id == "" {
		id = s.NewID()
	}
	return id, nil
}

func setETag(c *echo.Context, revision uint64) {
	c.Response().Header().Set(api.HeaderETag, strconv.Quote(strconv.FormatUint(revision, 10)))
}
