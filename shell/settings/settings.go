// Package settings decodes YAML files into structs. Each error names the file, the line,
// the key and what is allowed there.
//
// The key of a field is the name in its json tag. The tag required:"true" makes the key
// mandatory and a string non-empty, enum:"a,b" lists the allowed values of a string, and
// min:"1" sets the smallest allowed integer, by default 0.
package settings

import (
	"encoding"
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Error is one fault in a file.
type Error struct {
	File    string
	Line    int
	Key     string
	Problem string
	Allowed string
}

// Error returns the fault as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; allowed: %s", e.File, e.Line, e.Key, e.Problem, e.Allowed)
}

// Load decodes a YAML file into the struct that out points to. It returns all faults of
// the file, joined into one error; each is an *Error unless the file can't be read or is
// not YAML.
func Load(file string, out any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	return Parse(file, raw, out)
}

// Parse decodes YAML text as Load does. The file name is used in errors only.
func Parse(file string, raw []byte, out any) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		return fmt.Errorf("%s: reading YAML: %w", file, err)
	}
	d := decoder{file: file}
	root := &yaml.Node{Kind: yaml.MappingNode, Line: 1}
	if len(doc.Content) > 0 {
		root = doc.Content[0]
	}
	d.value(root, reflect.ValueOf(out).Elem(), field{key: "(top level)"})
	return errors.Join(d.errs...)
}

// field is the key of a value, from the top level of the file, with its constraints.
type field struct {
	key      string
	enum     string
	min      string
	required bool
}

type decoder struct {
	file string
	errs []error
}

func (d *decoder) fail(n *yaml.Node, key, problem, allowed string) {
	d.errs = append(d.errs, &Error{d.file, n.Line, key, problem, allowed})
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *decoder) value(n *yaml.Node, v reflect.Value, f field) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v, f)
	case v.CanAddr() && reflect.PointerTo(v.Type()).Implements(unmarshalerType):
		d.text(n, v, f)
	case v.Kind() == reflect.Struct:
		d.mapping(n, v, f)
	case v.Kind() == reflect.Slice:
		d.list(n, v, f)
	default:
		d.scalar(n, v, f)
	}
}

func (d *decoder) duration(n *yaml.Node, v reflect.Value, f field) {
	t, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil || t < 0 {
		d.fail(n, f.key, fmt.Sprintf("%q is not a duration", n.Value), "a number with a unit, such as 250ms, 3s or 5m")
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) text(n *yaml.Node, v reflect.Value, f field) {
	err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Value))
	if n.Kind != yaml.ScalarNode || err != nil || n.Value == "" {
		d.fail(n, f.key, fmt.Sprintf("%q is not usable", n.Value), allowedText(v.Type()))
	}
}

// allowedText returns what is allowed as a value of the type t.
func allowedText(t reflect.Type) string {
	switch t.String() {
	case "netip.AddrPort":
		return "an IP address with a port, such as 127.0.0.1:7001"
	case "time.Time":
		return "a time such as 2026-01-02T15:04:05Z"
	}
	return "a value of type " + t.String()
}

func (d *decoder) list(n *yaml.Node, v reflect.Value, f field) {
	if n.Kind != yaml.SequenceNode {
		if n.Tag != "!!null" {
			d.fail(n, f.key, "is not a list", "a list with one item a line, each after a dash")
		}
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		sub := f
		sub.key = fmt.Sprintf("%s[%d]", f.key, i)
		d.value(item, out.Index(i), sub)
	}
	v.Set(out)
}

func (d *decoder) mapping(n *yaml.Node, v reflect.Value, f field) {
	if n.Kind != yaml.MappingNode {
		d.fail(n, f.key, "is not a mapping", "keys "+strings.Join(fieldKeys(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, item := n.Content[i], n.Content[i+1]
		index, sub, ok := findField(v.Type(), key.Value)
		if !ok {
			d.fail(key, joinKey(f.key, key.Value), "unknown key", "one of "+strings.Join(fieldKeys(v.Type()), ", "))
			continue
		}
		if seen[key.Value] {
			d.fail(key, joinKey(f.key, key.Value), "given twice", "each key once")
			continue
		}
		seen[key.Value] = true
		sub.key = joinKey(f.key, key.Value)
		d.value(item, v.Field(index), sub)
	}
	for _, key := range fieldKeys(v.Type()) {
		if _, sub, _ := findField(v.Type(), key); sub.required && !seen[key] {
			d.fail(n, joinKey(f.key, key), "missing", "a value for this key")
		}
	}
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value, f field) {
	if n.Kind != yaml.ScalarNode {
		d.fail(n, f.key, "is not a single value", "one value")
		return
	}
	switch v.Kind() {
	case reflect.String:
		if f.enum != "" && !contains(strings.Split(f.enum, ","), n.Value) {
			d.fail(n, f.key, fmt.Sprintf("%q is not known", n.Value), "one of "+strings.ReplaceAll(f.enum, ",", ", "))
			return
		}
		if f.required && n.Value == "" {
			d.fail(n, f.key, "is empty", "a value for this key")
			return
		}
		v.SetString(n.Value)
	case reflect.Bool:
		b, err := strconv.ParseBool(n.Value)
		if err != nil {
			d.fail(n, f.key, fmt.Sprintf("%q is not a truth value", n.Value), "true or false")
			return
		}
		v.SetBool(b)
	case reflect.Int, reflect.Int64:
		d.integer(n, v, f)
	case reflect.Float64:
		x, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || x < 0 {
			d.fail(n, f.key, fmt.Sprintf("%q is not a number", n.Value), "a number from 0")
			return
		}
		v.SetFloat(x)
	default:
		d.fail(n, f.key, "can't be set here", "nothing")
	}
}

func (d *decoder) integer(n *yaml.Node, v reflect.Value, f field) {
	minimum := int64(0)
	if f.min != "" {
		minimum, _ = strconv.ParseInt(f.min, 10, 64)
	}
	x, err := strconv.ParseInt(n.Value, 10, 64)
	if err != nil || x < minimum {
		d.fail(n, f.key, fmt.Sprintf("%q is not usable", n.Value), fmt.Sprintf("a whole number from %d", minimum))
		return
	}
	v.SetInt(x)
}

// findField returns the index and the constraints of the field of t that has the given
// key. It returns false if there is none.
func findField(t reflect.Type, key string) (int, field, bool) {
	for i := range t.NumField() {
		sf := t.Field(i)
		if fieldKey(sf) == key {
			return i, field{key, sf.Tag.Get("enum"), sf.Tag.Get("min"), sf.Tag.Get("required") == "true"}, true
		}
	}
	return 0, field{}, false
}

// fieldKeys returns the keys of a struct type in alphabetical order.
func fieldKeys(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		if k := fieldKey(t.Field(i)); k != "" {
			all = append(all, k)
		}
	}
	sort.Strings(all)
	return all
}

func fieldKey(sf reflect.StructField) string {
	n, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
	if n == "-" {
		return ""
	}
	return n
}

func joinKey(parent, key string) string {
	if parent == "(top level)" {
		return key
	}
	return parent + "." + key
}

func contains(all []string, s string) bool {
	for _, a := range all {
		if a == s {
			return true
		}
	}
	return false
}
