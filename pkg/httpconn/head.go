package httpconn

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a response that isn't well-formed.
var ErrMalformed = eris.New("httpconn: malformed response")

// errHeadTooLarge is the error of a head that doesn't end.
var errHeadTooLarge = eris.New("httpconn: response head too large")

const (
	// maxHeadBytes bounds the status line and the fields of a response.
	maxHeadBytes = 64 << 10
	// keptHeadBytes is the size of the largest buffer that is kept for the next head.
	keptHeadBytes = 4 << 10
	// statusDigits is the length of a status code, and lowestStatus and highestStatus are its bounds (RFC
	// 9110, section 15).
	statusDigits                = 3
	lowestStatus, highestStatus = 100, 599
)

// head follows the bytes of a response up to the end of its head.
type head struct {
	// expected is true until the head of a final response has ended.
	expected bool
	// data is what was read of the head, and line where its last line begins.
	data []byte
	line int
}

// expect begins a head.
func (h *head) expect() {
	h.expected = true
	h.reset()
}

func (h *head) reset() {
	h.line = 0
	h.data = h.data[:0]
	if cap(h.data) > keptHeadBytes {
		h.data = nil
	}
}

// observe follows the next bytes. It returns how many of them may be passed on: all, or those before the
// end of a head that isn't well-formed, and why it isn't.
func (h *head) observe(b []byte) (int, error) {
	seen := 0
	for h.expected && seen < len(b) {
		length := lineLength(b[seen:])
		if len(h.data)+length > maxHeadBytes {
			return seen, errHeadTooLarge
		}
		h.data = append(h.data, b[seen:seen+length]...)
		if err := h.endLine(); err != nil {
			return seen, err
		}
		seen += length
	}
	return len(b), nil
}

// lineLength returns the length of the first line, with its line feed, or of as much as there is of it.
func lineLength(b []byte) int {
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return end + 1
	}
	return len(b)
}

// endLine checks the head if its last line is complete and empty. Another head follows that of an
// informational response. An empty first line is no end: net/http refuses it.
func (h *head) endLine() error {
	if h.data[len(h.data)-1] != '\n' {
		return nil
	}
	first, empty := h.line == 0, len(trimLineEnd(string(h.data[h.line:]))) == 0
	h.line = len(h.data)
	if first || !empty {
		return nil
	}
	status, err := parseHead(string(h.data))
	if err != nil {
		return err
	}
	h.expected = status < http.StatusOK
	h.reset()
	return nil
}

// parseHead returns the status of a head, or an error if it isn't well-formed: RFC 9110, sections 5 and 15, and
// RFC 9112, sections 4 to 6. What it leaves to net/http is whether the length of the body is stated correctly.
func parseHead(text string) (status int, err error) {
	line, fields, _ := strings.Cut(text, "\n")
	status, err = parseStatusLine(trimLineEnd(line))
	if err != nil {
		return 0, err
	}
	if continuesField(fields) {
		return 0, eris.Wrap(ErrMalformed, "blank before the first field")
	}
	hasChunks := false
	for field := range strings.Lines(fields) {
		name, err := parseField(trimLineEnd(field))
		if err != nil {
			return 0, err
		}
		hasChunks = hasChunks || strings.EqualFold(name, "Transfer-Encoding")
	}
	if hasChunks && strings.HasPrefix(line, "HTTP/1.0") {
		return 0, eris.Wrap(ErrMalformed, "transfer encoding in HTTP/1.0")
	}
	return status, nil
}

// parseField returns the name of a field, or "" for a line that continues a field or ends the head.
func parseField(line string) (string, error) {
	if line == "" || continuesField(line) {
		return "", checkValue(line)
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", eris.Wrapf(ErrMalformed, "line without a colon %.40q", line)
	}
	if err := checkName(name); err != nil {
		return "", err
	}
	return name, checkValue(value)
}

// continuesField reports whether a line continues the field before it (RFC 9112, section 5.2).
func continuesField(line string) bool {
	return strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
}

// checkName checks the name of a field: it is a token.
func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return eris.Wrapf(ErrMalformed, "name of a field %.40q", name)
	}
	return nil
}

// checkValue checks the value of a field, with blanks around it: it holds no control byte.
func checkValue(value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return eris.Wrapf(ErrMalformed, "value of a field %.40q", value)
	}
	return nil
}

// parseStatusLine returns the status in a line such as "HTTP/1.1 200 OK". The reason may be missing, and
// further spaces may separate the parts.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	major, _, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return 0, eris.Wrapf(ErrMalformed, "version %.20q", version)
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != statusDigits || status < lowestStatus || status > highestStatus {
		return 0, eris.Wrapf(ErrMalformed, "status %.20q", code)
	}
	if status == http.StatusSwitchingProtocols {
		return 0, eris.Wrap(ErrMalformed, "switch of protocols without a request for it")
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, eris.Wrapf(ErrMalformed, "reason %.40q", reason)
	}
	return status, nil
}

// trimLineEnd removes the end of a line: a line feed, or a carriage return and a line feed.
func trimLineEnd(line string) string {
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
}
