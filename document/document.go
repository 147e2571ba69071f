// Package document defines the validated configuration of the scheduler: its
// types, strict parsing, the difference between two generations and the [Holder]
// of the generation in force. Start from [Parse].
package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxBytes is the maximum size of a document in bytes, which is the platform's
// limit on values.
const MaxBytes = 1 << 20

// MaxTiers is the maximum number of tiers.
const MaxTiers = 8

// Values of Set.Kind.
const (
	// KindEngine is a set of model engines.
	KindEngine = "engine"
	// KindService is a set of plain services.
	KindService = "service"
)

// Values of Set.Role.
const (
	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Values of Document.Policy.
const (
	PolicyRound   = "round"
	PolicyLeast   = "least"
	PolicyChoices = "choices"
	PolicyCost    = "cost"
)

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" cbor:"name"`
	Region string `json:"region" cbor:"region"`
}

// Tier is a priority class of requests.
type Tier struct {
	Name string `json:"name" cbor:"name"`
	// Rank is 0 for the highest tier; the ranks of n tiers are 0 to n-1.
	Rank int `json:"rank" cbor:"rank"`
	// Deadline is the default and the maximum deadline of a request, above zero
	// and at most 24 hours. In JSON it is a string with a unit.
	Deadline time.Duration `json:"deadline" cbor:"deadline"`
}

// MarshalJSON writes the deadline as a string with a unit.
func (t Tier) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Name     string `json:"name"`
		Rank     int    `json:"rank"`
		Deadline string `json:"deadline"`
	}{t.Name, t.Rank, t.Deadline.String()})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (t *Tier) UnmarshalJSON(data []byte) error {
	var raw struct {
		Name     string `json:"name"`
		Rank     int    `json:"rank"`
		Deadline string `json:"deadline"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	deadline, err := time.ParseDuration(raw.Deadline)
	if err != nil {
		return err
	}
	*t = Tier{Name: raw.Name, Rank: raw.Rank, Deadline: deadline}
	return nil
}

// Model is a model that callers can request by name.
type Model struct {
	Name string `json:"name" cbor:"name"`
	// Context is the maximum length of prompt and answer together, in tokens.
	Context int `json:"context" cbor:"context"`
	// Adapters are the names of the adapters that sets may load.
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
	// Versions are the versions that sets may load.
	Versions []string `json:"versions,omitempty" cbor:"versions,omitempty"`
}

// Set is a set of interchangeable endpoints. Its members are in the VM list.
type Set struct {
	Name string `json:"name" cbor:"name"`
	// Kind is KindEngine or KindService. The fields below are empty for KindService.
	Kind string `json:"kind" cbor:"kind"`
	// Model names an existing model.
	Model string `json:"model,omitempty" cbor:"model,omitempty"`
	// Adapters are some of the model's adapters.
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
	// Version is one of the model's versions, or empty when the model has none.
	Version string `json:"version,omitempty" cbor:"version,omitempty"`
	// Role is RoleBoth, RolePrefill or RoleDecode.
	Role string `json:"role,omitempty" cbor:"role,omitempty"`
	// Fencing reports that the endpoints reject orders with an old fencing token.
	Fencing bool `json:"fencing,omitempty" cbor:"fencing,omitempty"`
}

// Target returns the name with which callers reach the set: the model of engines,
// the set's own name for services.
func (s Set) Target() string {
	if s.Kind == KindEngine {
		return s.Model
	}
	return s.Name
}

// Service is a plain service that callers reach by name.
type Service struct {
	Name string `json:"name" cbor:"name"`
	// Set names an existing set of KindService.
	Set string `json:"set" cbor:"set"`
	// Idempotent lists the HTTP methods whose requests may be retried.
	Idempotent []string `json:"idempotent,omitempty" cbor:"idempotent,omitempty"`
}

// Organisation is a customer with its keys and limits.
type Organisation struct {
	Name string `json:"name" cbor:"name"`
	// Keys are the digests of API keys: "sha256:" followed by lower-case hex. No
	// two organisations share a key. Without keys, no caller can act for the
	// organisation.
	Keys []string `json:"keys,omitempty" cbor:"keys,omitempty"`
	// Tiers names at least one existing tier; the first is the default.
	Tiers []string `json:"tiers" cbor:"tiers"`
	// Share is the organisation's weight within a tier, 1 to 1,000,000.
	Share int `json:"share" cbor:"share"`
	// Rate is the limit in requests per second at each entry, above zero.
	Rate float64 `json:"rate" cbor:"rate"`
	// Inflight is the limit on open requests at each entry, at least 1.
	Inflight int `json:"inflight" cbor:"inflight"`
}

// Document is one generation of the configuration. It is created by [Parse] or
// [Document.Apply], is valid and must not be modified, so it is safe for
// concurrent use. The items of each section are sorted by name.
type Document struct {
	// Generation is at least 1.
	Generation uint64 `json:"generation"`
	// Policy is one of the Policy constants; the default is PolicyCost.
	Policy        string         `json:"policy"`
	Domains       []Domain       `json:"domains,omitempty"`
	Tiers         []Tier         `json:"tiers,omitempty"`
	Models        []Model        `json:"models,omitempty"`
	Sets          []Set          `json:"sets,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`

	index index
}

// index holds the lookup tables of a document and the digests of its items.
type index struct {
	domains       section[Domain]
	tiers         section[Tier]
	models        section[Model]
	sets          section[Set]
	services      section[Service]
	organisations section[Organisation]
	// keys maps the SHA-256 of an API key to an index in Organisations.
	keys   map[[sha256.Size]byte]int
	digest [sha256.Size]byte
}

// Domain returns the failure domain with the given name.
func (d *Document) Domain(name string) (Domain, bool) { return d.index.domains.find(name) }

// Tier returns the tier with the given name.
func (d *Document) Tier(name string) (Tier, bool) { return d.index.tiers.find(name) }

// TierByRank returns the tier with the given rank.
func (d *Document) TierByRank(rank int) (Tier, bool) {
	for _, t := range d.Tiers {
		if t.Rank == rank {
			return t, true
		}
	}
	return Tier{}, false
}

// Model returns the model with the given name.
func (d *Document) Model(name string) (Model, bool) { return d.index.models.find(name) }

// Set returns the set with the given name.
func (d *Document) Set(name string) (Set, bool) { return d.index.sets.find(name) }

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) { return d.index.services.find(name) }

// Organisation returns the organisation with the given name.
func (d *Document) Organisation(name string) (Organisation, bool) {
	return d.index.organisations.find(name)
}

// OrganisationByKey returns the organisation that owns the plaintext API key. The
// lookup is by digest, so its duration reveals nothing about other keys.
func (d *Document) OrganisationByKey(key string) (Organisation, bool) {
	i, found := d.index.keys[sha256.Sum256([]byte(key))]
	if !found {
		return Organisation{}, false
	}
	return d.Organisations[i], true
}

// Number returns the generation.
func (d *Document) Number() uint64 { return d.Generation }

// Digest identifies the content, regardless of the order and formatting of its
// text. It is a SHA-256 over the generation, the policy and the digests of all
// items.
func (d *Document) Digest() [sha256.Size]byte { return d.index.digest }

// Encode returns the document as compact JSON that [Parse] accepts. Documents
// with equal digests have equal encodings.
func (d *Document) Encode() []byte {
	res, err := marshal(d)
	if err != nil {
		panic(err) // A valid document has no value that JSON cannot hold.
	}
	return res
}

// KeyDigest returns the digest of a plaintext API key in the form that documents
// contain.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

const keyPrefix = "sha256:"

func parseKeyDigest(s string) (res [sha256.Size]byte, ok bool) {
	text, found := strings.CutPrefix(s, keyPrefix)
	if !found || len(text) != hex.EncodedLen(len(res)) || strings.ToLower(text) != text {
		return res, false
	}
	_, err := hex.Decode(res[:], []byte(text))
	return res, err == nil
}

var canonicalMode = newCanonicalMode()

func newCanonicalMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// digestFormat must change whenever the same content gets a different digest.
const digestFormat = 1

// buildIndex builds the lookup tables and the digest. Sections that are already
// built, as after Apply, are kept.
func (d *Document) buildIndex() {
	x := &d.index
	x.domains = x.domains.buildOnce(d.Domains)
	x.tiers = x.tiers.buildOnce(d.Tiers)
	x.models = x.models.buildOnce(d.Models)
	x.sets = x.sets.buildOnce(d.Sets)
	x.services = x.services.buildOnce(d.Services)
	x.organisations = x.organisations.buildOnce(d.Organisations)
	d.Domains, d.Tiers, d.Models = x.domains.values, x.tiers.values, x.models.values
	d.Sets, d.Services, d.Organisations = x.sets.values, x.services.values, x.organisations.values
	if x.keys == nil {
		x.keys = make(map[[sha256.Size]byte]int, len(d.Organisations))
		for i, o := range d.Organisations {
			for _, k := range o.Keys {
				sum, _ := parseKeyDigest(k) // Validation has checked the format.
				x.keys[sum] = i
			}
		}
	}
	header := binary.BigEndian.AppendUint64([]byte{digestFormat}, d.Generation)
	h := sha256.New()
	h.Write(append(header, d.Policy...))
	for _, digests := range [][][sha256.Size]byte{
		x.domains.digests, x.tiers.digests, x.models.digests,
		x.sets.digests, x.services.digests, x.organisations.digests,
	} {
		h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(len(digests))))
		for i := range digests {
			h.Write(digests[i][:])
		}
	}
	h.Sum(x.digest[:0])
}
