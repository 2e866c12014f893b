package flight

import "slices"

// Lineage tells which continuation of an answer a process holds. Where an
// answer is continued by another process, the two share only the pieces that
// were copied; a reader may cross from one to the other below that position only.
type Lineage struct {
	// ID is unique to one process's continuation of an answer.
	ID string
	// Ancestors lists the continuations that this one goes back to.
	Ancestors []Ancestor
}

// Ancestor is an earlier continuation of the same answer.
type Ancestor struct {
	ID string
	// End is the number of pieces shared with it.
	End int
}

// Fork returns the lineage of a continuation that starts from a copy of n pieces.
func (l Lineage) Fork(id string, n int) Lineage {
	out := Lineage{ID: id, Ancestors: make([]Ancestor, 0, len(l.Ancestors)+1)}
	for _, a := range l.Ancestors {
		out.Ancestors = append(out.Ancestors, Ancestor{ID: a.ID, End: min(a.End, n)})
	}
	out.Ancestors = append(out.Ancestors, Ancestor{ID: l.ID, End: n})
	return out
}

// Covers tells whether a reader that has n pieces of another continuation may go on with this one.
func (l Lineage) Covers(id string, n int) bool {
	if n == 0 || id == l.ID {
		return true
	}
	return slices.ContainsFunc(l.Ancestors, func(a Ancestor) bool { return a.ID == id && n <= a.End })
}

// Generation orders the owners of an answer: where two processes continue the
// same answer, the higher one goes on. A new copy by the same owner adds one
// to the last number; another owner appends a number. Generations compare
// number by number, so that the descendants of an old copy never overtake
// those of a newer one.
type Generation []int

// Compare orders two generations.
func (g Generation) Compare(other Generation) int {
	return slices.Compare(g, other)
}

// Recopied returns the generation of a new copy by the same owner.
func (g Generation) NextCopy() Generation {
	out := slices.Clone(g)
	out[len(out)-1]++
	return out
}

// Adopted returns the generation of a new owner.
func (g Generation) NextOwner() Generation {
	return append(slices.Clone(g), 0)
}
