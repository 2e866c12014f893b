package flight

import "slices"

// Lineage identifies which continuation of an answer a process holds. If another
// process continues an answer from a copy, the two continuations share only the
// copied tokens. A reader may switch from one to the other only if it has read no
// further than that.
type Lineage struct {
	// ID is unique to the continuation.
	ID string
	// Ancestors lists the continuations from which this one was copied.
	Ancestors []Ancestor
}

// Ancestor is an earlier continuation of the same answer.
type Ancestor struct {
	ID string
	// End is the number of tokens shared with it.
	End int
}

// Fork returns the lineage of a continuation that starts from a copy of the
// first n tokens.
func (l Lineage) Fork(id string, n int) Lineage {
	out := Lineage{ID: id, Ancestors: make([]Ancestor, 0, len(l.Ancestors)+1)}
	for _, a := range l.Ancestors {
		out.Ancestors = append(out.Ancestors, Ancestor{ID: a.ID, End: min(a.End, n)})
	}
	out.Ancestors = append(out.Ancestors, Ancestor{ID: l.ID, End: n})
	return out
}

// Covers reports whether a reader that has n tokens of the continuation with
// the given id may continue with this one.
func (l Lineage) Covers(id string, n int) bool {
	if n == 0 || id == l.ID {
		return true
	}
	return slices.ContainsFunc(l.Ancestors, func(a Ancestor) bool { return a.ID == id && n <= a.End })
}

// Generation orders the copies and owners of an answer. If two processes
// continue the same answer, the one with the higher generation wins. A new copy
// by the same owner increments the last number; a new owner appends a number.
// Generations compare lexicographically, so that descendants of an old copy
// always rank below those of a newer one.
type Generation []int

// Compare returns -1, 0 or 1 if g is lower than, equal to or higher than other.
func (g Generation) Compare(other Generation) int {
	return slices.Compare(g, other)
}

// NextCopy returns the generation of a new copy by the same owner.
func (g Generation) NextCopy() Generation {
	out := slices.Clone(g)
	out[len(out)-1]++
	return out
}

// NextOwner returns the generation of a new owner.
func (g Generation) NextOwner() Generation {
	return append(slices.Clone(g), 0)
}
