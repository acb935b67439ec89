package route

import "cmp"

// Epoch numbers the histories of the platform's store. It rises when the store comes back from
// an older copy, after which it gives out revisions again. Zero stands for a store that names no
// epoch.
type Epoch uint64

// Position is a place in the changes of the platform's store. Positions order changes of
// different epochs too, revisions only those of one.
type Position struct {
	_        struct{} `cbor:",toarray"`
	Epoch    Epoch    `json:"epoch"`
	Revision uint64   `json:"revision"`
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive
// number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether nothing was read from the store yet.
func (p Position) IsZero() bool { return p == Position{} }
