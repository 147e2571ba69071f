package member

import "damasktrail.dev/internal/revision"

// kind names the numbers of lists in errors.
const kind = "version"

// Holder has the list in force and the differences that led to it. Its number
// is that of the list.
type Holder = revision.Holder[*List, Difference]

// NewHolder returns a holder without a list.
func NewHolder() *Holder { return revision.New(kind, Compare) }
