package document

import "damasktrail.dev/internal/revision"

// kind names the numbers of documents in errors.
const kind = "generation"

// Holder has the document in force and the differences that led to it. Its number
// is that of the document.
type Holder = revision.Holder[*Document, Difference]

// NewHolder returns a holder without a document.
func NewHolder() *Holder { return revision.New(kind, Compare) }
