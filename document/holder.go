package document

import "damasktrail.dev/internal/revision"

// kind is the term for the number of a document in error messages.
const kind = "generation"

// Holder stores the document in force and the recent differences that led to it.
// Its number is the generation of the document.
type Holder = revision.Holder[*Document, Difference]

// NewHolder returns a holder without a document.
func NewHolder() *Holder { return revision.New(kind, Compare) }
