// Package identify is the first filter of the request pipeline. It determines the
// caller's workspace from the request's key.
package identify

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// Errors returned by Identify.
var (
	// ErrNoKey means that the request has no key.
	ErrNoKey = eris.New("identify: missing key")
	// ErrUnknownKey means that the key belongs to no workspace.
	ErrUnknownKey = eris.New("identify: unknown key")
)

// bearer is the scheme prefix of the Authorization header.
const bearer = "Bearer "

// Identity identifies the caller of a request.
type Identity struct {
	Workspace *config.Workspace
}

// Identify returns the workspace of the key in the Authorization header, or in
// keyHeader if that is not empty.
func Identify(doc *config.Document, h http.Header, keyHeader string) (Identity, error) {
	key := apiKey(h, keyHeader)
	if key == "" {
		return Identity{}, ErrNoKey
	}
	w, ok := doc.WorkspaceByKey(key)
	if !ok {
		return Identity{}, ErrUnknownKey
	}
	return Identity{Workspace: w}, nil
}

func apiKey(h http.Header, keyHeader string) string {
	if keyHeader != "" {
		return h.Get(keyHeader)
	}
	key, ok := strings.CutPrefix(h.Get("Authorization"), bearer)
	if !ok {
		return ""
	}
	return key
}
