package poison

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two requests that are taken for one, of which the one that is sound would
// be refused.
func TestContent_HashTellsRequestsApart(t *testing.T) {
	g := NewWithT(t)
	base := Content{Method: "POST", Host: "a.example", URI: "/a/b?c=1", Caller: "w1", Body: []byte("body")}
	same := base
	same.Body = []byte("body")
	g.Expect(same.Hash()).To(Equal(base.Hash()))
	for name, change := range map[string]func(c *Content){
		"method":                func(c *Content) { c.Method = "PUT" },
		"host":                  func(c *Content) { c.Host = "b.example" },
		"query":                 func(c *Content) { c.URI = "/a/b?c=2" },
		"caller":                func(c *Content) { c.Caller = "w2" },
		"body":                  func(c *Content) { c.Body = []byte("bodz") },
		"no body":               func(c *Content) { c.Body = nil },
		"bytes of other fields": func(c *Content) { c.URI, c.Caller = "/a/b?c=1w", "1" },
	} {
		other := base
		change(&other)
		g.Expect(other.Hash()).NotTo(Equal(base.Hash()), name)
	}
}
