package document_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
)

// newDocument returns a valid document with the given numbers of items.
func newDocument(generation uint64, organisations, models, sets int) *document.Document {
	d := &document.Document{Generation: generation, Policy: document.PolicyCost}
	for i := range 23 {
		d.Domains = append(d.Domains, document.Domain{Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	for i, name := range []string{"high", "middle", "low"} {
		d.Tiers = append(d.Tiers, document.Tier{Name: name, Rank: i, Deadline: time.Duration(i+1) * 30 * time.Second})
	}
	for i := range models {
		d.Models = append(d.Models, document.Model{
			Name: fmt.Sprintf("model-%02d", i), Context: 32768,
			Adapters: []string{"formal", "plain"}, Versions: []string{"1", "2"},
		})
	}
	for i := range sets {
		d.Sets = append(d.Sets, document.Set{
			Name: fmt.Sprintf("set-%03d", i), Kind: document.KindEngine, Model: fmt.Sprintf("model-%02d", i%models),
			Adapters: []string{"plain"}, Version: "2", Role: document.RoleBoth, Fencing: i%2 == 0,
		})
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: name, Keys: []string{document.KeyDigest("key of " + name)}, Tiers: []string{"middle", "high"},
			Share: 1 + i%9, Rate: 16.5, Inflight: 40,
		})
	}
	return reparse(d)
}

func reparse(d *document.Document) *document.Document {
	res, err := document.Parse(d.Encode())
	if err != nil {
		panic(err)
	}
	return res
}

const example = `{"generation": 7,
 "domains": [{"name": "ghent", "region": "be"}, {"name": "aalst", "region": "be"}],
 "tiers": [{"name": "high", "rank": 0, "deadline": "30s"}, {"name": "low", "rank": 1, "deadline": "2m"}],
 "models": [{"name": "jury", "context": 32768, "adapters": ["appeal"], "versions": ["1"]}],
 "sets": [
  {"name": "jury-a", "kind": "engine", "model": "jury", "adapters": ["appeal"], "version": "1", "role": "both", "fencing": true},
  {"name": "dossier", "kind": "service"}],
 "services": [{"name": "dossiers", "set": "dossier", "idempotent": ["GET", "PUT"]}],
 "organisations": [
  {"name": "fair", "keys": ["KEY-FAIR"], "tiers": ["high", "low"], "share": 3, "rate": 0.5, "inflight": 8},
  {"name": "Świt", "keys": ["KEY-A", "KEY-B"], "tiers": ["low"], "share": 1, "rate": 2, "inflight": 4}]}`

func exampleText(replace ...string) []byte {
	s := strings.NewReplacer(replace...).Replace(example)
	for _, k := range []string{"KEY-FAIR", "KEY-A", "KEY-B"} {
		s = strings.ReplaceAll(s, k, document.KeyDigest(k))
	}
	return []byte(s)
}

func mustFind[T any](v T, found bool) T {
	if !found {
		panic("item was not found")
	}
	return v
}

// Guards against lookups that miss an item or a key, and against a default
// tier that changes when sections are sorted.
func TestParseAndLookUp(t *testing.T) {
	d, err := document.Parse(exampleText())
	require.NoError(t, err)
	require.Equal(t, document.PolicyCost, d.Policy)
	require.Equal(t, "aalst", d.Domains[0].Name)
	require.Equal(t, document.Tier{Name: "low", Rank: 1, Deadline: 2 * time.Minute}, mustFind(d.Tier("low")))
	require.Equal(t, "high", mustFind(d.TierByRank(0)).Name)
	require.Equal(t, 32768, mustFind(d.Model("jury")).Context)
	require.Equal(t, "jury", mustFind(d.Set("jury-a")).Target())
	require.Equal(t, "dossier", mustFind(d.Set("dossier")).Target())
	require.Equal(t, []string{"GET", "PUT"}, mustFind(d.Service("dossiers")).Idempotent)
	require.Equal(t, "be", mustFind(d.Domain("ghent")).Region)
	for key, want := range map[string]string{"KEY-FAIR": "fair", "KEY-A": "Świt", "KEY-B": "Świt", "key-a": "", "": ""} {
		o, ok := d.OrganisationByKey(key)
		require.Equal(t, want != "", ok, key)
		require.Equal(t, want, o.Name)
	}
	require.Equal(t, []string{"high", "low"}, mustFind(d.Organisation("fair")).Tiers)
	_, ok := d.Organisation("none")
	require.False(t, ok)

	again, err := document.Parse(d.Encode())
	require.NoError(t, err)
	require.Equal(t, d, again)
	require.Equal(t, d.Digest(), again.Digest())
}

// Guards against accepting an invalid document, and against an error message that
// does not identify the fault.
func TestParseRefuses(t *testing.T) {
	long := strings.Repeat("x", 129)
	for name, c := range map[string]struct {
		from, to, want string
	}{
		"unknown field at the top":  {`"generation"`, `"colour": 1, "generation"`, `colour: field does not exist`},
		"unknown field in a list":   {`"region": "be"}, {`, `"region": "be", "zone": 1}, {`, `domains[0].zone: field does not exist`},
		"field in other case":       {`"generation"`, `"Generation"`, `Generation: field does not exist`},
		"duplicate key":             {`"rank": 1`, `"rank": 1, "rank": 1`, `tiers[1].rank: key "rank" is given twice`},
		"duplicate section":         {`"models"`, `"tiers": [], "models"`, `tiers: key "tiers" is given twice`},
		"duration without unit":     {`"30s"`, `"30"`, `tiers[0].deadline: "30" is not a duration with a unit, such as "500ms" or "30s"`},
		"duration as number":        {`"30s"`, `30`, `tiers[0].deadline: must be a string with a unit, such as "30s", is a number`},
		"duration of zero":          {`"30s"`, `"0s"`, `tiers[0].deadline: 0s is not above zero and at most 24h0m0s`},
		"duration of days":          {`"30s"`, `"25h"`, `tiers[0].deadline: 25h0m0s is not above zero and at most 24h0m0s`},
		"null":                      {`"rank": 1`, `"rank": null`, `tiers[1].rank: must be a number, is null`},
		"list for a string":         {`"region": "be"}, {`, `"region": []}, {`, `domains[0].region: must be a string, is a list`},
		"object for a list":         {`["GET", "PUT"]`, `{}`, `services[0].idempotent: must be a list, is an object`},
		"string for a flag":         {`"fencing": true`, `"fencing": "yes"`, `sets[0].fencing: must be true or false, is a string`},
		"number for an object":      {`{"name": "dossier", "kind": "service"}`, `3`, `sets[1]: must be an object, is a number`},
		"fraction for a whole":      {`"inflight": 8`, `"inflight": 8.5`, `organisations[0].inflight: 8.5 is not a whole number in range`},
		"generation zero":           {`"generation": 7`, `"generation": 0`, `generation: must be at least 1`},
		"generation absent":         {`"generation": 7,`, ``, `generation: must be at least 1`},
		"generation negative":       {`"generation": 7`, `"generation": -7`, `generation: -7 is not a whole number in range`},
		"unknown policy":            {`"generation": 7,`, `"generation": 7, "policy": "random",`, `policy: "random" is not one of round, least, choices, cost`},
		"region empty":              {`"ghent", "region": "be"`, `"ghent", "region": ""`, `domains[0].region: must not be empty`},
		"name empty":                {`"name": "aalst"`, `"name": ""`, `domains[1].name: must not be empty`},
		"name long":                 {`"name": "aalst"`, `"name": "` + long + `"`, `domains[1].name: has 129 bytes, the limit is 128`},
		"name with a line end":      {`"name": "aalst"`, `"name": "aalst\n"`, `domains[1].name: "aalst\n" has a control character or a space at its end`},
		"duplicate domain":          {`"name": "aalst"`, `"name": "ghent"`, `domains[1].name: failure domain "ghent" already exists as domains[0]`},
		"no tiers":                  {`"tiers": [{"name": "high", "rank": 0, "deadline": "30s"}, {"name": "low", "rank": 1, "deadline": "2m"}],`, ``, `tiers: at least one tier is needed`},
		"nine tiers":                {`{"name": "low",`, strings.Repeat(`{"name": "x", "rank": 1, "deadline": "1s"},`, 7) + `{"name": "low",`, `tiers: 9 tiers exceed the limit of 8`},
		"rank twice":                {`"rank": 1`, `"rank": 0`, `tiers[1].rank: rank 0 is that of tier "high"`},
		"rank with a gap":           {`"rank": 1`, `"rank": 2`, `tiers[1].rank: 2 is not between 0 and 1`},
		"rank negative":             {`"rank": 1`, `"rank": -1`, `tiers[1].rank: -1 is not between 0 and 1`},
		"context zero":              {`"context": 32768`, `"context": 0`, `models[0].context: 0 is not between 1 and 100000000`},
		"version twice":             {`"versions": ["1"]`, `"versions": ["1", "1"]`, `models[0].versions[1]: "1" is given twice`},
		"set of unknown kind":       {`"kind": "service"`, `"kind": "shop"`, `sets[1].kind: "shop" is not one of engine, service`},
		"set of unknown model":      {`"model": "jury"`, `"model": "fury"`, `sets[0].model: model "fury" does not exist`},
		"set with unknown adapter":  {`"adapters": ["appeal"], "version"`, `"adapters": ["x"], "version"`, `sets[0].adapters[0]: model "jury" has no adapter "x"`},
		"set with unknown version":  {`"version": "1"`, `"version": "2"`, `sets[0].version: model "jury" has no version "2"`},
		"set with unknown role":     {`"role": "both"`, `"role": "all"`, `sets[0].role: "all" is not one of both, prefill, decode`},
		"service set with a model":  {`"kind": "service"`, `"kind": "service", "model": "jury"`, `sets[1]: a set of kind service has no model, adapters, version, role or fencing`},
		"service of unknown set":    {`"set": "dossier"`, `"set": "x"`, `services[0].set: set "x" does not exist`},
		"service of an engine set":  {`"set": "dossier"`, `"set": "jury-a"`, `services[0].set: set "jury-a" is not of kind service`},
		"service in two segments":   {`"name": "dossiers"`, `"name": "a/b"`, `services[0].name: "a/b" has a character other than letters, digits, '.', '_' and '-'`},
		"service named as a model":  {`"name": "dossiers"`, `"name": "jury"`, `services[0].name: "jury" is also the name of a model`},
		"unknown method":            {`"PUT"`, `"put"`, `services[0].idempotent[1]: "put" is not one of GET, HEAD, OPTIONS, PUT, DELETE, PATCH, POST`},
		"organisation without tier": {`"tiers": ["low"]`, `"tiers": []`, `organisations[1].tiers: at least one tier is needed`},
		"unknown tier":              {`"tiers": ["low"]`, `"tiers": ["x"]`, `organisations[1].tiers[0]: tier "x" does not exist`},
		"tier twice":                {`"tiers": ["low"]`, `"tiers": ["low", "low"]`, `organisations[1].tiers[1]: "low" is given twice`},
		"plain key":                 {`KEY-FAIR`, `secret`, `organisations[0].keys[0]: must be "sha256:" and 64 digits in lower-case hex`},
		"key in upper case":         {`KEY-FAIR`, `sha256:` + strings.Repeat("A", 64), `organisations[0].keys[0]: must be "sha256:" and 64 digits in lower-case hex`},
		"key of two organisations":  {`KEY-B`, `KEY-FAIR`, `organisations[1].keys[1]: key already belongs to organisation "fair"`},
		"key twice":                 {`KEY-B`, `KEY-A`, `organisations[1].keys[1]: key already belongs to organisation "Świt"`},
		"share zero":                {`"share": 3`, `"share": 0`, `organisations[0].share: 0 is not between 1 and 1000000`},
		"rate zero":                 {`"rate": 0.5`, `"rate": 0`, `organisations[0].rate: 0 requests/s is not above 0 and at most 1000000`},
		"rate beyond a float":       {`"rate": 0.5`, `"rate": 1e999`, `organisations[0].rate: 1e999 is not a number in range`},
		"inflight absent":           {`, "inflight": 8`, ``, `organisations[0].inflight: 0 is not between 1 and 1000000`},
		"trailing data":             {`"inflight": 4}]}`, `"inflight": 4}]} {}`, `line 11, column 239: invalid character`},
		"not UTF-8":                 {`Świt`, "\xff", `text is not valid UTF-8`},
		"over 1 MB":                 {`{"generation"`, strings.Repeat(" ", 1<<20) + `{"generation"`, `bytes exceed the limit of 1048576`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, example, c.from)
			_, err := document.Parse(exampleText(c.from, c.to))
			invalid, ok := errors.AsType[*document.InvalidError](err)
			require.True(t, ok, "%v", err)
			var all []string
			for _, p := range invalid.Problems {
				all = append(all, p.String())
			}
			require.Contains(t, strings.Join(all, "\n"), c.want)
		})
	}
}

// Guards against an error whose size grows with the document.
func TestParseBoundsProblems(t *testing.T) {
	d := newDocument(1, 300, 1, 1)
	_, err := document.Parse([]byte(strings.ReplaceAll(string(d.Encode()), `"inflight":40`, `"inflight":0`)))
	invalid, ok := errors.AsType[*document.InvalidError](err)
	require.True(t, ok)
	require.Len(t, invalid.Problems, 100)
	require.Equal(t, 200, invalid.Omitted)
	require.EqualError(t, err, `document is invalid: organisations[0].inflight: 0 is not between 1 and 1000000 (and 299 more problems)`)
}

// Guards against a document that a process accepts from the platform but its peers
// reject, because the canonical form that is sent to them is longer.
func TestParseRefusesLongCanonicalForm(t *testing.T) {
	short := strings.ReplaceAll(string(newDocument(1, 4000, 1, 1).Encode()), `"rate":16.5`, `"rate":1e5`)
	fill := func(size int) []byte {
		var domains strings.Builder
		for i := 0; len(short)+domains.Len() < size-300; i++ {
			fmt.Fprintf(&domains, `{"name":"%0100d","region":"r"},`, i)
		}
		return []byte(strings.Replace(short, `"domains":[`, `"domains":[`+domains.String(), 1))
	}
	_, err := document.Parse(fill(document.MaxBytes - 4000*3))
	require.NoError(t, err)
	_, err = document.Parse(fill(document.MaxBytes))
	require.ErrorContains(t, err, "canonical form has")
}

// Guards against a limit below the maximum planned size: 2,200 organisations, 24
// models and 336 sets must fit into 1 MB.
func TestTargetSizeFits(t *testing.T) {
	d := newDocument(1, 2200, 24, 336)
	t.Logf("document at target size: %d bytes", len(d.Encode()))
	require.Less(t, len(d.Encode()), document.MaxBytes/2)
}

func FuzzParse(f *testing.F) {
	f.Add(exampleText())
	f.Add(exampleText(`"rank": 1`, `"rank": 1, "rank": [[{}]]`))
	f.Add([]byte(`{"generation":1,"tiers":[{"name":"a","rank":0,"deadline":"1s"}]} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := document.Parse(data)
		if err != nil {
			var invalid *document.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.NotEmpty(t, invalid.Problems)
			return
		}
		require.True(t, json.Valid(data))
		again, err := document.Parse(d.Encode())
		require.NoError(t, err)
		require.Equal(t, d.Digest(), again.Digest())
		require.Equal(t, d.Encode(), again.Encode())
	})
}
