package document

import "damasktrail.dev/internal/strict"

// Parse decodes and validates a document and checks its size. The error is an
// [*InvalidError] with all problems that were found, up to 100.
func Parse(data []byte) (*Document, error) {
	p := &strict.Problems{}
	res := &Document{}
	if !strict.Read(data, MaxBytes, res, p) {
		return nil, invalid(p)
	}
	if res.Policy == "" {
		res.Policy = PolicyCost
	}
	res.validate(p)
	if err := invalid(p); err != nil {
		return nil, err
	}
	res.buildIndex()
	// The canonical text writes numbers in full, so it can be longer than data. It
	// must respect the limit too, because peers parse it.
	if len(data) > MaxBytes/2 {
		if size := len(res.Encode()); size > MaxBytes {
			p.Add(nil, "canonical form has %d bytes, the limit is %d", size, MaxBytes)
			return nil, invalid(p)
		}
	}
	return res, nil
}

func invalid(p *strict.Problems) error {
	if len(p.List) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.List, Omitted: p.Omitted}
}
