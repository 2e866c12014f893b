package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/tmaxmax/go-sse"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// headerLastEventID resumes a stream, as the server-sent events standard defines.
const headerLastEventID = "Last-Event-ID"

// streamEnd is the last event of an OpenAI stream.
const streamEnd = "[DONE]"

// responseFormat selects the format of a response.
type responseFormat struct {
	stream bool
	usage  bool
	// answerField names the single field of a call style's response; empty
	// selects the OpenAI format.
	answerField string
}

// send sends a flight's answer, starting at the given position.
func (s *Server) send(c *echo.Context, f *flight.Flight, pos streamPosition, r responseFormat) error {
	if r.stream {
		return s.sendStream(c, f, pos, r)
	}
	return s.sendComplete(c, f, r)
}

// sendComplete waits for the complete answer and sends it as JSON.
func (s *Server) sendComplete(c *echo.Context, f *flight.Flight, r responseFormat) error {
	ctx := c.Request().Context()
	var tokens []engine.Token
	ctx, cancel := s.withHandover(ctx)
	defer cancel()
	for {
		more, last, err := f.Log.Read(ctx, len(tokens))
		if mustReconnect(ctx, err) {
			return s.redirect(c, f)
		}
		if err != nil {
			return s.unlessDisconnected(ctx, err)
		}
		tokens = append(tokens, more...)
		if last {
			return writeJSON(c, completeResponse(f, tokens, r))
		}
	}
}

// sendStream writes one server-sent event per token; the event id holds the token's position.
func (s *Server) sendStream(c *echo.Context, f *flight.Flight, pos streamPosition, r responseFormat) error {
	if !pos.validFor(f) {
		return errPositionUnknown()
	}
	from := pos.next
	ctx, cancel := s.withHandover(c.Request().Context())
	defer cancel()
	tokens, last, err := f.Log.Read(ctx, from)
	if mustReconnect(ctx, err) {
		return s.redirect(c, f)
	}
	if err != nil {
		return s.unlessDisconnected(ctx, err)
	}
	w := newEventWriter(c)
	for {
		if err := w.tokens(f, tokens); err != nil {
			return nil
		}
		from += len(tokens)
		if last {
			return w.end(f, r)
		}
		tokens, last, err = f.Log.Read(ctx, from)
		if mustReconnect(ctx, err) {
			w.endMoved()
			return nil
		}
		if err != nil {
			if ctx.Err() == nil {
				w.endWithError(s.translate(err))
			}
			return nil
		}
	}
}

// mustReconnect reports whether this entry can no longer read the answer, so
// that the caller has to reconnect to another entry.
func mustReconnect(ctx context.Context, err error) bool {
	return errors.Is(context.Cause(ctx), errHandedOver) || errors.Is(err, dispatch.ErrOwnerLost)
}

// writeJSON sends a JSON response within WriteTimeout.
func writeJSON(c *echo.Context, body any) error {
	setWriteDeadline(c)
	return c.JSON(http.StatusOK, body)
}

// setWriteDeadline sets a deadline on writes to a caller, which may have stopped reading.
func setWriteDeadline(c *echo.Context) {
	rc := http.NewResponseController(c.Response())
	_ = rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
}

// unlessDisconnected returns err, or nil if the caller has disconnected.
func (s *Server) unlessDisconnected(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// streamPosition is the position at which a caller wants its stream to continue.
type streamPosition struct {
	// next is the index of the next token that the caller needs.
	next int
	// lineage identifies the continuation that the caller has read so far.
	lineage string
	// stream reports whether the caller asks for server-sent events.
	stream bool
}

// eventID returns the id of a token's event: the token's index and lineage.
func eventID(index int, lineage string) string {
	return strconv.Itoa(index) + eventIDSeparator + lineage
}

// eventIDSeparator separates the parts of an event id.
const eventIDSeparator = "@"

// resumePosition parses the Last-Event-ID header. Without it the answer is sent
// from the start.
func resumePosition(h http.Header) (streamPosition, error) {
	text := h.Get(headerLastEventID)
	if text == "" {
		return streamPosition{stream: strings.Contains(h.Get("Accept"), "text/event-stream")}, nil
	}
	index, lineage, ok := strings.Cut(text, eventIDSeparator)
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || !ok {
		return streamPosition{}, apierror.Invalid(http.StatusBadRequest, "invalid_last_event_id", "Last-Event-ID must be the id of an event of the stream")
	}
	return streamPosition{next: n + 1, lineage: lineage, stream: true}, nil
}

// validFor reports whether the flight can continue from the caller's position.
func (p streamPosition) validFor(f *flight.Flight) bool {
	return p.next <= f.Len() && f.Lineage().Covers(p.lineage, p.next)
}

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func newEventWriter(c *echo.Context) *eventWriter {
	h := c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	c.Response().WriteHeader(http.StatusOK)
	return &eventWriter{w: c.Response(), rc: http.NewResponseController(c.Response())}
}

// event writes one event; an empty id is omitted.
func (w *eventWriter) event(id, data string) error {
	var m sse.Message
	m.AppendData(data)
	if id != "" {
		m.ID = sse.ID(id)
	}
	_, err := m.WriteTo(w.w)
	return err
}

// flush sends buffered data within WriteTimeout.
func (w *eventWriter) flush() error {
	_ = w.rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
	return w.rc.Flush()
}

func (w *eventWriter) tokens(f *flight.Flight, tokens []engine.Token) error {
	lineage := f.Lineage().ID
	for _, t := range tokens {
		if err := w.event(eventID(t.Index, lineage), tokenChunk(f, t)); err != nil {
			return err
		}
	}
	return w.flush()
}

// end writes the usage event, if requested, and the [DONE] event.
func (w *eventWriter) end(f *flight.Flight, r responseFormat) error {
	if r.usage {
		if err := w.event("", usageChunk(f)); err != nil {
			return nil
		}
	}
	if err := w.event("", streamEnd); err != nil {
		return nil
	}
	_ = w.flush()
	return nil
}

// endMoved ends a stream that continues on another entry: the caller reconnects
// with the last event id, as the server-sent events standard defines.
func (w *eventWriter) endMoved() {
	m := sse.Message{Retry: reconnectDelay}
	m.AppendComment("moved: resume at /v1/requests/{id} with Last-Event-ID")
	if _, err := m.WriteTo(w.w); err != nil {
		return
	}
	_ = w.flush()
}

// endWithError ends a stream with an error event. It omits [DONE], so that a
// truncated response never looks complete.
func (w *eventWriter) endWithError(e *apierror.Error) {
	if err := w.event("", mustEncode(e.Body())); err != nil {
		return
	}
	_ = w.flush()
}
