// Package reqtarget holds the target of an HTTP request as its caller sent it. Whatever is decided by a
// path, and what is sent on, comes from this one form: nothing is decoded, cleaned or joined.
package reqtarget

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for a target that a request of its method can't have by RFC 9112, 3.2.
var ErrInvalid = eris.New("reqtarget: invalid request target")

// asterisk is the target of OPTIONS requests that concern a whole server.
const asterisk = "*"

// Target is the target of a request. Its zero value is the target of no request.
type Target struct {
	raw string
	// path is the path as it is compared: escapes of unreserved characters are decoded.
	path string
}

// Parse returns the target of a request from its request line. It takes paths with a query (origin-form),
// absolute http and https URIs, and an asterisk for OPTIONS.
func Parse(method, raw string) (Target, error) {
	if method == http.MethodConnect || strings.ContainsFunc(raw, isForbidden) {
		return Target{}, ErrInvalid
	}
	if raw == asterisk {
		return Target{raw: raw}, asteriskError(method)
	}
	path, ok := rawPath(raw)
	if !ok || !validEscapes(path) {
		return Target{}, ErrInvalid
	}
	return Target{raw: raw, path: ComparedPath(path)}, nil
}

// asteriskError returns ErrInvalid for methods that can't have an asterisk as the target.
func asteriskError(method string) error {
	if method != http.MethodOptions {
		return ErrInvalid
	}
	return nil
}

// isForbidden reports whether no part of a target may hold a character: recipients would end the target
// there, or cut it.
func isForbidden(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }

// rawPath returns the path of a target as it was sent. That of an absolute URI may be empty, which stands
// for a slash.
func rawPath(raw string) (string, bool) {
	path, _, _ := strings.Cut(raw, "?")
	if strings.HasPrefix(path, "/") {
		return path, true
	}
	scheme, rest, ok := strings.Cut(path, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", false
	}
	authority, path, _ := strings.Cut(rest, "/")
	return "/" + path, authority != ""
}

// validEscapes reports whether each percent sign of a path begins an escape.
func validEscapes(path string) bool {
	for i := range len(path) {
		if _, ok := unescape(path[i:]); path[i] == '%' && !ok {
			return false
		}
	}
	return true
}

// String returns the target as it was sent.
func (t Target) String() string { return t.raw }

// Path returns the path for comparisons with others that ComparedPath has returned. It is empty if the
// target has none.
func (t Target) Path() string { return t.path }

// ComparedPath returns a path in the form in which two are compared by RFC 3986, 6.2.2: escapes of
// unreserved characters are decoded, and the digits of the others are in upper case. An escaped slash isn't
// a slash. Dot segments and empty ones stay, as the path is sent on with them.
func ComparedPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c, ok := unescape(path[i:])
		switch {
		case !ok:
			out.WriteByte(path[i])
			continue
		case isUnreserved(c):
			out.WriteByte(c)
		default:
			out.WriteString(strings.ToUpper(path[i : i+escapeLength]))
		}
		i += escapeLength - 1
	}
	return out.String()
}

// escapeLength is the length of an escaped byte: a percent sign and two digits.
const escapeLength = 3

// unescape returns the byte that an escape at the beginning of a text stands for. It returns false if there
// is none.
func unescape(text string) (byte, bool) {
	if len(text) < escapeLength || text[0] != '%' {
		return 0, false
	}
	high, okHigh := hexDigit(text[1])
	low, okLow := hexDigit(text[2])
	return high<<4 | low, okHigh && okLow
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// isUnreserved reports whether a character means the same escaped and unescaped.
func isUnreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-._~", c) >= 0
}
