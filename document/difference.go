package document

import (
	"crypto/sha256"
	"fmt"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// Values of Operation.Action.
const (
	// ActionSet adds the item or replaces it.
	ActionSet = "set"
	// ActionDelete removes the item.
	ActionDelete = "delete"
)

// Values of Operation.Section.
const (
	SectionPolicy        = "policy"
	SectionDomains       = "domains"
	SectionTiers         = "tiers"
	SectionModels        = "models"
	SectionSets          = "sets"
	SectionServices      = "services"
	SectionOrganisations = "organisations"
)

// Operation changes one item of a document. A set operation has a value in the
// field of its section only; a delete operation has no value.
type Operation struct {
	Action  string `cbor:"action" json:"action"`
	Section string `cbor:"section" json:"section"`
	// Name is the name of the item; in SectionPolicy it is the policy itself.
	Name         string        `cbor:"name" json:"name"`
	Domain       *Domain       `cbor:"domain,omitempty" json:"domain,omitempty"`
	Tier         *Tier         `cbor:"tier,omitempty" json:"tier,omitempty"`
	Model        *Model        `cbor:"model,omitempty" json:"model,omitempty"`
	Set          *Set          `cbor:"set,omitempty" json:"set,omitempty"`
	Service      *Service      `cbor:"service,omitempty" json:"service,omitempty"`
	Organisation *Organisation `cbor:"organisation,omitempty" json:"organisation,omitempty"`
}

// Difference holds the changes that turn one document into another. It is
// immutable.
type Difference struct {
	// From and To are the generations of the two documents.
	From uint64 `cbor:"from" json:"from"`
	To   uint64 `cbor:"to" json:"to"`
	// Digest is the digest of the resulting document.
	Digest [sha256.Size]byte `cbor:"digest" json:"-"`
	// Operations is sorted by section and then by name and has at most one
	// operation per item.
	Operations []Operation `cbor:"operations,omitempty" json:"operations"`
}

// Span returns From and To.
func (x Difference) Span() (from, to uint64) { return x.From, x.To }

// Len returns the number of operations.
func (x Difference) Len() int { return len(x.Operations) }

// Compare returns the difference that turns the document from into the document
// to.
func Compare(from, to *Document) Difference {
	res := Difference{From: from.Generation, To: to.Generation, Digest: to.Digest()}
	if from.Policy != to.Policy {
		res.Operations = append(res.Operations,
			Operation{Action: ActionSet, Section: SectionPolicy, Name: to.Policy})
	}
	a, b := &from.index, &to.index
	compareSections(&res, SectionDomains, a.domains, b.domains, func(o *Operation, v *Domain) { o.Domain = v })
	compareSections(&res, SectionTiers, a.tiers, b.tiers, func(o *Operation, v *Tier) { o.Tier = v })
	compareSections(&res, SectionModels, a.models, b.models, func(o *Operation, v *Model) { o.Model = v })
	compareSections(&res, SectionSets, a.sets, b.sets, func(o *Operation, v *Set) { o.Set = v })
	compareSections(&res, SectionServices, a.services, b.services, func(o *Operation, v *Service) { o.Service = v })
	compareSections(&res, SectionOrganisations, a.organisations, b.organisations,
		func(o *Operation, v *Organisation) { o.Organisation = v })
	return res
}

func compareSections[T item](d *Difference, name string, from, to section[T], setValue func(o *Operation, v *T)) {
	from.compare(to, func(v T) {
		o := Operation{Action: ActionSet, Section: name, Name: v.key()}
		setValue(&o, &v)
		d.Operations = append(d.Operations, o)
	}, func(key string) {
		d.Operations = append(d.Operations, Operation{Action: ActionDelete, Section: name, Name: key})
	})
}

// Apply returns the document that results from the difference. The receiver must
// have the generation From, and the result must be valid and have the digest of
// the difference. The error is a [*FromError], [*OperationError],
// [*InvalidError] or [*DigestError]; the caller must then fetch the whole
// document.
func (d *Document) Apply(x Difference) (*Document, error) {
	if x.From != d.Generation {
		return nil, &FromError{ValueName: "document", Kind: kind, From: x.From, Held: d.Generation}
	}
	c, err := x.changesBySection()
	if err != nil {
		return nil, err
	}
	res := &Document{Generation: x.To, Policy: d.Policy, index: d.index}
	if c.policy != "" {
		res.Policy = c.policy
	}
	i := &res.index
	var missing [6]string
	i.domains, missing[0] = i.domains.apply(c.domains)
	i.tiers, missing[1] = i.tiers.apply(c.tiers)
	i.models, missing[2] = i.models.apply(c.models)
	i.sets, missing[3] = i.sets.apply(c.sets)
	i.services, missing[4] = i.services.apply(c.services)
	i.organisations, missing[5] = i.organisations.apply(c.organisations)
	for _, name := range missing {
		if name != "" {
			return nil, x.missingItemError(name)
		}
	}
	if len(c.organisations) > 0 {
		i.keys = nil
	}
	res.buildIndex()
	if res.index.digest != x.Digest {
		return nil, &DigestError{Kind: kind, Number: x.To, Want: x.Digest, Got: res.index.digest}
	}
	p := &strict.Problems{}
	res.validate(p)
	if err := invalid(p); err != nil {
		return nil, err
	}
	return res, nil
}

// changes holds the operations by section and name; a nil item is deleted.
type changes struct {
	policy        string
	domains       map[string]*Domain
	tiers         map[string]*Tier
	models        map[string]*Model
	sets          map[string]*Set
	services      map[string]*Service
	organisations map[string]*Organisation
}

func (x Difference) changesBySection() (changes, error) {
	var res changes
	for i, o := range x.Operations {
		var message string
		switch o.Section {
		case SectionPolicy:
			if o.Action != ActionSet || res.policy != "" || o.Name == "" {
				message = "policy can only be set, and once"
			}
			res.policy = o.Name
		case SectionDomains:
			message = recordChange(&res.domains, o, o.Domain)
		case SectionTiers:
			message = recordChange(&res.tiers, o, o.Tier)
		case SectionModels:
			message = recordChange(&res.models, o, o.Model)
		case SectionSets:
			message = recordChange(&res.sets, o, o.Set)
		case SectionServices:
			message = recordChange(&res.services, o, o.Service)
		case SectionOrganisations:
			message = recordChange(&res.organisations, o, o.Organisation)
		default:
			message = "section does not exist"
		}
		if message != "" {
			return changes{}, &OperationError{Index: i, Section: o.Section, Name: o.Name, Message: message}
		}
	}
	return res, nil
}

// recordChange records an operation in m. It returns the reason why the operation
// is invalid, or an empty string.
func recordChange[T item](m *map[string]*T, o Operation, value *T) string {
	if _, found := (*m)[o.Name]; found {
		return "item is changed twice"
	}
	switch o.Action {
	case ActionSet:
		if value == nil || (*value).key() != o.Name {
			return "value is absent or has another name"
		}
	case ActionDelete:
		if value != nil {
			return "a delete operation has no value"
		}
	default:
		return fmt.Sprintf("action %q does not exist", o.Action)
	}
	if *m == nil {
		*m = map[string]*T{}
	}
	(*m)[o.Name] = value
	return ""
}

// missingItemError returns the error for deleting an item that does not exist.
func (x Difference) missingItemError(name string) error {
	for i, o := range x.Operations {
		if o.Action == ActionDelete && o.Name == name {
			return &OperationError{Index: i, Section: o.Section, Name: name, Message: "item does not exist"}
		}
	}
	return &OperationError{Name: name, Message: "item does not exist"}
}

// EncodeDifference returns the CBOR encoding. It fails with a [*SizeError] when
// the encoding exceeds the size limit of documents; the whole document is then the
// shorter message.
func EncodeDifference(x Difference) ([]byte, error) {
	return revision.Encode(kind, canonicalMode, MaxBytes, x)
}

// DecodeDifference decodes the output of EncodeDifference. It rejects unknown
// fields and trailing data. The operations are checked by Apply.
func DecodeDifference(data []byte) (Difference, error) {
	return revision.Decode[Difference](kind, MaxBytes, data)
}
