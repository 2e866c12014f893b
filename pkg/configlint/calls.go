package configlint

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Headers that a call style uses if it names none.
const (
	defaultKeyHeader         = "Authorization"
	defaultIdempotencyHeader = "Idempotency-Key"
)

// modelField is the JSON field of a call style's body that names the model.
const modelField = "model"

// checkEmptyKeys finds hashes of the empty text, which is never accepted as a key. They
// come from hashing an unset variable.
func checkEmptyKeys(d *config.Document) []strictjson.Problem {
	var out findings
	empty := config.HashKey("")
	for i, w := range d.Workspaces {
		if j := slices.Index(w.KeyHashes, empty); j >= 0 {
			out.add(at("workspaces[%d].key_sha256[%d]", i, j), "this is the hash of the empty text, which is no key: no caller can use it")
		}
	}
	return out
}

// checkCallStylePaths finds paths that requests never have. The entry compares the
// decoded path without the query, and refuses paths below a service that aren't clean.
func checkCallStylePaths(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.CallStyles {
		if strings.ContainsAny(c.Path, "?#") {
			out.add(at("call_styles[%d].path", i), "never matches: the path of a request ends before '?' and '#'")
		}
		if decoded, err := url.PathUnescape(c.Path); err == nil && decoded != c.Path {
			out.add(at("call_styles[%d].path", i), "never matches: paths are compared in decoded form; write %q", decoded)
		}
		if c.Service != "" && !config.ValidServicePath(c.ServicePath) {
			out.add(at("call_styles[%d].service_path", i), "every call is refused: the path must not hold empty or dot segments")
		}
	}
	return out
}

// checkCallStyleHeaders finds headers that no request can have, and keys and idempotency
// keys that share a header, so that all calls of a workspace have the same idempotency key.
func checkCallStyleHeaders(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.CallStyles {
		if !receivable(c.KeyHeader) {
			out.add(at("call_styles[%d].key_header", i), "no request has a header %q, so no caller has a key", c.KeyHeader)
		}
		if !receivable(c.IdempotencyHeader) {
			out.add(at("call_styles[%d].idempotency_header", i), "no request has a header %q", c.IdempotencyHeader)
		}
		key, idempotency := headerOr(c.KeyHeader, defaultKeyHeader), headerOr(c.IdempotencyHeader, defaultIdempotencyHeader)
		if c.Service != "" && strings.EqualFold(key, idempotency) {
			out.add(at("call_styles[%d]", i), "header %q holds both the key and the idempotency key: all calls of a workspace have the same one", key)
		}
	}
	return out
}

func headerOr(name, absent string) string {
	if name == "" {
		return absent
	}
	return name
}

// receivable reports whether a request can have a header of this name; "" is the
// default name. net/http removes Host from the headers.
func receivable(name string) bool {
	isOther := func(r rune) bool {
		letterOrDigit := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !letterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
	return !strings.EqualFold(name, "Host") && !strings.ContainsFunc(name, isOther)
}

// checkCallStyleFields finds prompts in the field that names the model: each prompt would
// be taken as the name of a model.
func checkCallStyleFields(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.CallStyles {
		if c.Service == "" && c.PromptField == modelField {
			out.add(at("call_styles[%d].prompt_field", i), "the field %q names the model, so every prompt is taken as a model name", modelField)
		}
	}
	return out
}

// checkCallStyleTargets finds call styles whose service no workspace may call.
func checkCallStyleTargets(d *config.Document) []strictjson.Problem {
	var out findings
	callable := callableServices(d)
	for i, c := range d.CallStyles {
		if c.Service != "" && !callable[c.Service] {
			out.add(at("call_styles[%d].service", i), "no workspace may call service %q", c.Service)
		}
		if s, ok := d.ServiceByModel(c.Model); ok && !callable[s.Name] {
			out.add(at("call_styles[%d].model", i), "no workspace may call service %q of model %q", s.Name, c.Model)
		}
	}
	return out
}

// checkIdempotencyHeaders finds idempotency headers that aren't read: only
// non-idempotent calls of plain services have idempotency keys.
func checkIdempotencyHeaders(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.CallStyles {
		if c.IdempotencyHeader == "" {
			continue
		}
		field := at("call_styles[%d].idempotency_header", i)
		if c.Service == "" {
			out.add(field, "has no effect: requests to models have no idempotency key")
			continue
		}
		// Call styles serve POST only.
		if s, ok := d.ServiceByName(c.Service); ok && s.Idempotent(http.MethodPost, c.ServicePath) {
			out.add(field, "has no effect: service %q doesn't declare POST %s as non-idempotent", s.Name, c.ServicePath)
		}
	}
	return out
}

// checkCallPrefixes finds prefixes of non-idempotent calls that no path below a service
// has, so that the calls that they mean are repeated.
func checkCallPrefixes(d *config.Document) []strictjson.Problem {
	var out findings
	unclean := func(prefix string) bool {
		return slices.ContainsFunc([]string{"//", "/./", "/../", "?", "#"}, func(s string) bool { return strings.Contains(prefix, s) })
	}
	for i := range d.Services {
		for j, c := range d.Services[i].NonIdempotent {
			if unclean(c.PathPrefix) {
				out.add(at("services[%d].non_idempotent[%d].path_prefix", i, j), "never matches: paths have no empty or dot segments and no query; the calls are treated as idempotent")
			}
		}
	}
	return out
}

// checkShadowedCalls finds non-idempotent calls that another entry covers.
func checkShadowedCalls(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Services {
		calls := d.Services[i].NonIdempotent
		for j, c := range calls {
			k := slices.IndexFunc(calls, func(other config.Call) bool { return covers(other, c) })
			if k >= 0 && k != j {
				out.add(at("services[%d].non_idempotent[%d]", i, j), "has no effect: %s %s covers it", calls[k].Method, calls[k].PathPrefix)
			}
		}
	}
	return out
}

// covers reports whether a matches every call that b matches.
func covers(a, b config.Call) bool {
	return a.Method == b.Method && strings.HasPrefix(b.PathPrefix, a.PathPrefix)
}
