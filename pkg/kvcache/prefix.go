package kvcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLevels is the number of levels of a prefix that are told apart. Of longer prefixes the
	// longest levels count.
	maxLevels = 4
	// minTokens is the length of a prefix below which nothing is fetched: it is read in about the
	// time that a fetch takes to begin.
	minTokens = 256
)

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prefix identifies the shared parts of a prompt. An engine can use a part only if it holds all
// parts before it, so each level stands for a part and those before it. The zero value is a prompt
// that shares nothing.
type Prefix struct {
	service string
	// levels holds the first count levels, the shortest first.
	levels [maxLevels]level
	count  int
}

// level is the beginning of a prompt up to the end of one part.
type level struct {
	key    uint64
	tokens int
}

// NewPrefix returns the prefix of a prompt of a number of tokens: all of its parts but the last.
func NewPrefix(service string, parts []Part, prompt int) Prefix {
	p := Prefix{service: service}
	shared := parts[:max(0, len(parts)-1)]
	current := level{key: xxhash.Sum64String(service)}
	for i, part := range shared {
		current = current.extend(part, prompt)
		if i >= len(shared)-maxLevels {
			p.levels[p.count] = current
			p.count++
		}
	}
	return p
}

// extend returns the level of the next part.
func (l level) extend(p Part, prompt int) level {
	var text [24]byte
	binary.BigEndian.PutUint64(text[0:], l.key)
	binary.BigEndian.PutUint64(text[8:], xxhash.Sum64String(p.ID))
	binary.BigEndian.PutUint64(text[16:], uint64(p.Tokens))
	tokens := l.tokens + min(max(0, p.Tokens), prompt)
	return level{key: xxhash.Sum64(text[:]), tokens: min(tokens, prompt)}
}

// Tokens returns the number of tokens of the prefix.
func (p *Prefix) Tokens() int {
	if p.count == 0 {
		return 0
	}
	return p.levels[p.count-1].tokens
}
