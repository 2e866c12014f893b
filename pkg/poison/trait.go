// Package poison finds requests that crash the endpoints that begin to answer them, as a
// poison message crashes its consumers, and keeps them away from the endpoints. Instances
// share the crashes that they see, so that a few crashes in the whole fleet are enough.
//
// What crashes endpoints is a trait of the request: a part of its prompt, which other
// requests share, or all of its content, which only further tries of the same request share.
// A crash is evidence against all traits of the requests that broke off with it before their
// answers were under way for a while. A trait is poison if it accounts for several crashes of
// different endpoints, and no request with it has been answered since. Crashes that a poison
// trait accounts for are no evidence against others.
package poison

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Trait is the hash of something that several requests may have in common. Its highest bits
// tell the kind. 0 means none.
type Trait uint64

// kind is the kind of a trait.
type kind uint64

const (
	// kindPart is a part of a prompt.
	kindPart kind = iota
	// kindContent is the content of a request.
	kindContent
	// kindPrompt is the content together with all parts of the prompt, for requests whose
	// content alone doesn't tell them apart.
	kindPrompt
)

// String returns the kind's name as logs show it.
func (k kind) String() string {
	switch k {
	case kindPart:
		return "prompt part"
	case kindContent:
		return "content"
	case kindPrompt:
		return "content and prompt"
	}
	return "unknown"
}

const (
	kindShift = 62
	hashMask  = 1<<kindShift - 1
)

func newTrait(k kind, hash uint64) Trait { return Trait(uint64(k)<<kindShift | hash&hashMask) }

// kind returns the trait's kind.
func (t Trait) kind() kind { return kind(t >> kindShift) }

// hash returns the trait without its kind, as logs show it.
func (t Trait) hash() uint64 { return uint64(t) & hashMask }

// PartOf returns the trait of the requests with a part in their prompts.
func PartOf(id string) Trait { return newTrait(kindPart, xxhash.Sum64String(id)) }

// Request holds the traits of a request.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Content is the trait of the requests with the same content, and Prompt that of those
	// with the same prompt too; 0 if the request has none, or if it is no longer suspected.
	Content, Prompt Trait
	// Parts holds the parts of the prompt that other requests may share.
	Parts []Trait
}

// NewRequest returns the traits of a request with the given parts of its prompt, of which the
// last one is its own.
func NewRequest(content Content, parts []string) Request {
	r := Request{Content: newTrait(kindContent, content.Hash())}
	if len(parts) == 0 {
		return r
	}
	r.Prompt = newTrait(kindPrompt, content.hash(parts))
	for _, id := range parts[:len(parts)-1] {
		r.Parts = append(r.Parts, PartOf(id))
	}
	return r
}

// id returns the trait that best tells the request from others.
func (r Request) id() Trait {
	if r.Prompt != 0 {
		return r.Prompt
	}
	return r.Content
}

// whole returns the traits of the request as a whole.
func (r Request) whole() []Trait {
	return slices.DeleteFunc([]Trait{r.Content, r.Prompt}, func(t Trait) bool { return t == 0 })
}

// traits returns all traits of the request.
func (r Request) traits() []Trait { return append(r.whole(), r.Parts...) }

// process is the hash of the key of an endpoint's process.
type process uint64

func processOf(k endpoints.Key) process {
	return process(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(k.ID), uint64(k.Born))))
}
