package member

import "damasktrail.dev/internal/revision"

// kind is the term for the number of a list in error messages.
const kind = "version"

// Holder stores the list in force and the recent differences that led to it. Its
// number is the version of the list.
type Holder = revision.Holder[*List, Difference]

// NewHolder returns a holder without a list.
func NewHolder() *Holder { return revision.New(kind, Compare) }
