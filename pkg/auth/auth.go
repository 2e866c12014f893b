// Package auth authenticates operators by the keys in their requests.
package auth

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// Errors of this package.
var (
	// ErrNoKey means that the request has no key.
	ErrNoKey = eris.New("auth: missing key")
	// ErrUnknownKey means that no operator has the key.
	ErrUnknownKey = eris.New("auth: unknown key")
)

// bearer is the scheme of the Authorization header.
const bearer = "Bearer "

// Operator is an authenticated operator.
type Operator struct {
	Name string
	Role settings.Role
}

// MayOperate reports whether the operator may change the configuration.
func (o Operator) MayOperate() bool { return o.Role == settings.RoleOperate }

// Operators looks operators up by key. It is immutable.
type Operators struct {
	byHash map[[sha256.Size]byte]Operator
}

// New returns the operators in a list from the settings. Invalid key hashes are ignored.
func New(list []settings.Operator) *Operators {
	out := &Operators{byHash: make(map[[sha256.Size]byte]Operator)}
	for _, o := range list {
		for _, text := range o.KeyHashes {
			if sum, ok := config.ParseKeyHash(text); ok {
				out.byHash[sum] = Operator{Name: o.Name, Role: o.Role}
			}
		}
	}
	return out
}

// Authenticate returns the operator whose key is in the Authorization header. It
// looks up the key's hash, so that timing reveals nothing about the keys.
func (o *Operators) Authenticate(h http.Header) (Operator, error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), bearer)
	if !ok || key == "" {
		return Operator{}, ErrNoKey
	}
	found, ok := o.byHash[sha256.Sum256([]byte(key))]
	if !ok {
		return Operator{}, ErrUnknownKey
	}
	return found, nil
}
