package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// location is a place in the text. Its string is made only for a problem.
type location struct {
	parent *location
	// field is empty for an element of a list.
	field string
	index int
}

func (l *location) at(field string) *location { return &location{parent: l, field: field} }

func (l *location) element(i int) *location { return &location{parent: l, index: i} }

// String returns the path in the form of Problem.Path.
func (l *location) String() string {
	switch {
	case l == nil:
		return ""
	case l.field == "":
		return l.parent.String() + "[" + strconv.Itoa(l.index) + "]"
	case l.parent == nil:
		return l.field
	}
	return l.parent.String() + "." + l.field
}

// problems collects the faults of a document.
type problems struct {
	list    []Problem
	omitted int
}

func (p *problems) add(l *location, format string, args ...any) {
	if len(p.list) == maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, Problem{Path: l.String(), Message: fmt.Sprintf(format, args...)})
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list, Omitted: p.omitted}
}

// Parse reads a document of at most MaxSize and validates it whole. The error
// is an [*InvalidError] with all problems that were found, up to 100.
func Parse(data []byte) (*Document, error) {
	p := &problems{}
	res := &Document{}
	if !read(data, res, p) {
		return nil, p.err()
	}
	if res.Policy == "" {
		res.Policy = PolicyCost
	}
	res.validate(p)
	if err := p.err(); err != nil {
		return nil, err
	}
	res.build()
	// The canonical text writes numbers in full, so it can be the longer one; a
	// peer must be able to parse it.
	if len(data) > MaxSize/2 {
		if size := len(res.Encode()); size > MaxSize {
			p.add(nil, "canonical form has %d bytes, the limit is %d", size, MaxSize)
			return nil, p.err()
		}
	}
	return res, nil
}

// read fills target, a pointer to a struct. It reports false when the text is
// not JSON at all, so that no further check makes sense.
func read(data []byte, target any, p *problems) bool {
	if len(data) > MaxSize {
		p.add(nil, "%d bytes exceed the limit of %d", len(data), MaxSize)
		return false
	}
	if !utf8.Valid(data) {
		p.add(nil, "text is not valid UTF-8")
		return false
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		line, column := position(data, err)
		p.add(nil, "line %d, column %d: %v", line, column, err)
		return false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	r := &reader{decoder: d, problems: p}
	r.decode(nil, r.tree(nil), reflect.ValueOf(target).Elem())
	return true
}

// position returns line and column of a syntax error, from 1.
func position(data []byte, err error) (line, column int) {
	offset := len(data)
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		offset = max(0, min(offset, int(syntax.Offset)-1))
	}
	before := data[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// member is one field of a JSON object.
type member struct {
	name  string
	value any
}

type reader struct {
	decoder  *json.Decoder
	problems *problems
}

// tree reads one value as []member, []any, string, json.Number, bool or nil.
func (r *reader) tree(l *location) any {
	token, err := r.decoder.Token()
	if err != nil {
		return nil // The syntax was checked before.
	}
	switch token {
	case json.Delim('{'):
		res := []member{}
		seen := map[string]bool{}
		for r.decoder.More() {
			key, _ := r.decoder.Token()
			name, _ := key.(string)
			at := l.at(name)
			if seen[name] {
				r.problems.add(at, "key %q is given twice", name)
			}
			seen[name] = true
			res = append(res, member{name, r.tree(at)})
		}
		_, _ = r.decoder.Token()
		return res
	case json.Delim('['):
		res := []any{}
		for r.decoder.More() {
			res = append(res, r.tree(l.element(len(res))))
		}
		_, _ = r.decoder.Token()
		return res
	}
	return token
}

// decode stores a value of tree in target, which is addressable.
func (r *reader) decode(l *location, value any, target reflect.Value) {
	ok, want := true, ""
	switch t := target.Addr().Interface().(type) {
	case *string:
		want = "a string"
		*t, ok = value.(string)
	case *bool:
		want = "true or false"
		*t, ok = value.(bool)
	case *time.Duration:
		r.duration(l, value, t)
	case *uint64, *int, *float64:
		r.number(l, value, t)
	default:
		if target.Kind() == reflect.Slice {
			r.list(l, value, target)
		} else {
			r.object(l, value, target)
		}
	}
	if !ok {
		r.mismatch(l, want, value)
	}
}

func (r *reader) list(l *location, value any, target reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		r.mismatch(l, "a list", value)
		return
	}
	if len(list) == 0 {
		return // An empty list and none have the same digest.
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, v := range list {
		r.decode(l.element(i), v, target.Index(i))
	}
}

// number stores a value in target, a pointer to a number.
func (r *reader) number(l *location, value, target any) {
	n, ok := value.(json.Number)
	if !ok {
		r.mismatch(l, "a number", value)
		return
	}
	var err error
	kind := "whole number"
	switch t := target.(type) {
	case *uint64:
		*t, err = strconv.ParseUint(n.String(), 10, 64)
	case *int:
		*t, err = strconv.Atoi(n.String())
	case *float64:
		kind = "number"
		*t, err = n.Float64()
	}
	if err != nil {
		r.problems.add(l, "%s is not a %s in range", n, kind)
	}
}

func (r *reader) duration(l *location, value any, target *time.Duration) {
	s, ok := value.(string)
	if !ok {
		r.mismatch(l, `a string with a unit, such as "30s"`, value)
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.problems.add(l, `%q is not a duration with a unit, such as "500ms" or "30s"`, s)
		return
	}
	*target = d
}

func (r *reader) object(l *location, value any, target reflect.Value) {
	members, ok := value.([]member)
	if !ok {
		r.mismatch(l, "an object", value)
		return
	}
	t := target.Type()
	for _, m := range members {
		field := -1
		for i := range t.NumField() {
			if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "" && name == m.name {
				field = i
			}
		}
		if field < 0 {
			r.problems.add(l.at(m.name), "field does not exist")
			continue
		}
		r.decode(l.at(m.name), m.value, target.Field(field))
	}
}

func (r *reader) mismatch(l *location, want string, value any) {
	got := "null"
	switch value.(type) {
	case []member:
		got = "an object"
	case []any:
		got = "a list"
	case string:
		got = "a string"
	case json.Number:
		got = "a number"
	case bool:
		got = "true or false"
	}
	r.problems.add(l, "must be %s, is %s", want, got)
}
