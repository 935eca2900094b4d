package discovery

import "cmp"

// Position is a point in the history of the store. An era begins whenever the store comes
// back from an older copy of itself and gives out revisions again, so revisions are ordered
// within an era only.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare orders positions by era and then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsAfter reports whether the position is later than another.
func (p Position) IsAfter(other Position) bool {
	return p.Compare(other) > 0
}

// IsZero reports whether the position is that of a VM that holds nothing of the store.
func (p Position) IsZero() bool {
	return p == Position{}
}
