package document

import (
	"crypto/sha256"
	"fmt"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// The actions of an Operation.
const (
	// ActionSet adds the item or replaces it.
	ActionSet = "set"
	// ActionDelete removes the item.
	ActionDelete = "delete"
)

// The sections of a document, as an Operation names them.
const (
	SectionPolicy        = "policy"
	SectionDomains       = "domains"
	SectionTiers         = "tiers"
	SectionModels        = "models"
	SectionSets          = "sets"
	SectionServices      = "services"
	SectionOrganisations = "organisations"
)

// Operation changes one item of a document. A set operation has exactly the
// value that belongs to its section; a delete operation has none.
type Operation struct {
	Action  string `cbor:"action" json:"action"`
	Section string `cbor:"section" json:"section"`
	// Name is that of the item; in SectionPolicy it is the policy itself.
	Name         string        `cbor:"name" json:"name"`
	Domain       *Domain       `cbor:"domain,omitempty" json:"domain,omitempty"`
	Tier         *Tier         `cbor:"tier,omitempty" json:"tier,omitempty"`
	Model        *Model        `cbor:"model,omitempty" json:"model,omitempty"`
	Set          *Set          `cbor:"set,omitempty" json:"set,omitempty"`
	Service      *Service      `cbor:"service,omitempty" json:"service,omitempty"`
	Organisation *Organisation `cbor:"organisation,omitempty" json:"organisation,omitempty"`
}

// Difference leads from one document to another. It is immutable.
type Difference struct {
	// From and To are the generations of the two documents.
	From uint64 `cbor:"from" json:"from"`
	To   uint64 `cbor:"to" json:"to"`
	// Digest is that of the resulting document.
	Digest [sha256.Size]byte `cbor:"digest" json:"-"`
	// Operations has each item at most once, by section and then by name.
	Operations []Operation `cbor:"operations,omitempty" json:"operations"`
}

// Span returns From and To.
func (x Difference) Span() (from, to uint64) { return x.From, x.To }

// Len returns the number of operations.
func (x Difference) Len() int { return len(x.Operations) }

// Compare returns the difference that leads from one document to the other.
func Compare(from, to *Document) Difference {
	res := Difference{From: from.Generation, To: to.Generation, Digest: to.Digest()}
	if from.Policy != to.Policy {
		res.Operations = append(res.Operations,
			Operation{Action: ActionSet, Section: SectionPolicy, Name: to.Policy})
	}
	a, b := &from.index, &to.index
	compare(&res, SectionDomains, a.domains, b.domains, func(o *Operation, v *Domain) { o.Domain = v })
	compare(&res, SectionTiers, a.tiers, b.tiers, func(o *Operation, v *Tier) { o.Tier = v })
	compare(&res, SectionModels, a.models, b.models, func(o *Operation, v *Model) { o.Model = v })
	compare(&res, SectionSets, a.sets, b.sets, func(o *Operation, v *Set) { o.Set = v })
	compare(&res, SectionServices, a.services, b.services, func(o *Operation, v *Service) { o.Service = v })
	compare(&res, SectionOrganisations, a.organisations, b.organisations,
		func(o *Operation, v *Organisation) { o.Organisation = v })
	return res
}

func compare[T item](d *Difference, name string, from, to section[T], put func(o *Operation, v *T)) {
	from.compare(to, func(v T) {
		o := Operation{Action: ActionSet, Section: name, Name: v.key()}
		put(&o, &v)
		d.Operations = append(d.Operations, o)
	}, func(key string) {
		d.Operations = append(d.Operations, Operation{Action: ActionDelete, Section: name, Name: key})
	})
}

// Apply returns the document to which the difference leads. The receiver must
// have the generation From, the result must have the announced digest and be
// valid. Errors are [*FromError], [*OperationError], [*InvalidError] and
// [*DigestError]; the document is then to be fetched whole.
func (d *Document) Apply(x Difference) (*Document, error) {
	if x.From != d.Generation {
		return nil, &FromError{Noun: "document", Kind: kind, From: x.From, Held: d.Generation}
	}
	c, err := x.changes()
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
			return nil, x.missing(name)
		}
	}
	if len(c.organisations) > 0 {
		i.keys = nil
	}
	res.build()
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

// changes are the operations by section; a nil item is to be deleted.
type changes struct {
	policy        string
	domains       map[string]*Domain
	tiers         map[string]*Tier
	models        map[string]*Model
	sets          map[string]*Set
	services      map[string]*Service
	organisations map[string]*Organisation
}

func (x Difference) changes() (changes, error) {
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
			message = change(&res.domains, o, o.Domain)
		case SectionTiers:
			message = change(&res.tiers, o, o.Tier)
		case SectionModels:
			message = change(&res.models, o, o.Model)
		case SectionSets:
			message = change(&res.sets, o, o.Set)
		case SectionServices:
			message = change(&res.services, o, o.Service)
		case SectionOrganisations:
			message = change(&res.organisations, o, o.Organisation)
		default:
			message = "section does not exist"
		}
		if message != "" {
			return changes{}, &OperationError{Index: i, Section: o.Section, Name: o.Name, Message: message}
		}
	}
	return res, nil
}

// change records an operation and returns what is wrong with it.
func change[T item](m *map[string]*T, o Operation, value *T) string {
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

// missing returns the error for a deleted item that does not exist.
func (x Difference) missing(name string) error {
	for i, o := range x.Operations {
		if o.Action == ActionDelete && o.Name == name {
			return &OperationError{Index: i, Section: o.Section, Name: name, Message: "item does not exist"}
		}
	}
	return &OperationError{Name: name, Message: "item does not exist"}
}

// EncodeDifference returns the CBOR encoding. It fails with a [*SizeError] when
// that exceeds MaxSize; the whole document is then the shorter message.
func EncodeDifference(x Difference) ([]byte, error) {
	return revision.Encode(kind, canonical, MaxSize, x)
}

// DecodeDifference reads what EncodeDifference wrote. Unknown fields and trailing
// data are refused. The operations are checked by Apply.
func DecodeDifference(data []byte) (Difference, error) {
	return revision.Decode[Difference](kind, MaxSize, data)
}
