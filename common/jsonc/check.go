package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// typeChecker checks a parsed value against a Go type before encoding/json decodes
// it, because the errors of encoding/json have no line or field.
type typeChecker struct {
	name string
	data []byte
}

func (c *typeChecker) checkRoot(root *hujson.Value, into any) *Problem {
	return c.check(root, reflect.TypeOf(into).Elem(), "")
}

func (c *typeChecker) check(v *hujson.Value, t reflect.Type, pointer string) *Problem {
	if v.Value.Kind() == 'n' {
		return c.newProblem(v, pointer, KindValue, "a value in place of null")
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return c.checkLeaf(v, t, pointer)
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.checkObject(v, t, pointer)
	case reflect.Slice:
		return c.checkArray(v, t, pointer)
	default:
		return c.checkLeaf(v, t, pointer)
	}
}

func (c *typeChecker) checkObject(v *hujson.Value, t reflect.Type, pointer string) *Problem {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return c.newProblem(v, pointer, KindValue, "an object")
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		literal, ok := member.Name.Value.(hujson.Literal)
		if !ok {
			return c.newProblem(&member.Name, pointer, KindValue, "a field name")
		}
		name := literal.String()
		at := pointer + "/" + escapePointer(name)
		field, known := fields.find(name)
		if !known {
			return c.newProblem(&member.Name, at, KindUnknown, "one of "+fields.names())
		}
		if seen[name] {
			return c.newProblem(&member.Name, at, KindDuplicate, "each field once")
		}
		seen[name] = true
		if problem := c.check(&member.Value, field, at); problem != nil {
			return problem
		}
	}
	return nil
}

func (c *typeChecker) checkArray(v *hujson.Value, t reflect.Type, pointer string) *Problem {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return c.newProblem(v, pointer, KindValue, "a list")
	}
	for i := range array.Elements {
		at := pointer + "/" + strconv.Itoa(i)
		if problem := c.check(&array.Elements[i], t.Elem(), at); problem != nil {
			return problem
		}
	}
	return nil
}

func (c *typeChecker) checkLeaf(v *hujson.Value, t reflect.Type, pointer string) *Problem {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), reflect.New(t).Interface()); err != nil {
		return c.newProblem(v, pointer, KindValue, describeType(t))
	}
	return nil
}

func (c *typeChecker) newProblem(v *hujson.Value, pointer string, kind Kind, want string) *Problem {
	return &Problem{
		File:  c.name,
		Line:  lineAt(c.data, v.StartOffset),
		Field: Field(pointer),
		Want:  want,
		Kind:  kind,
	}
}

// valueDescriber is a type that describes its valid values in problems.
type valueDescriber interface {
	DescribeValues() string
}

func describeType(t reflect.Type) string {
	if w, ok := reflect.Zero(t).Interface().(valueDescriber); ok {
		return w.DescribeValues()
	}
	switch t {
	case reflect.TypeFor[json.Number]():
		return "a number"
	case reflect.TypeFor[time.Time]():
		return `a time such as "2030-12-31T00:00:00Z"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return fmt.Sprintf("a %s", t)
}

// structField is the JSON name and the type of a struct field.
type structField struct {
	name  string
	value reflect.Type
}

type structFields []structField

func fieldsOf(t reflect.Type) structFields {
	var fields structFields
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		fields = append(fields, structField{
			name:  name,
			value: f.Type,
		})
	}
	return fields
}

func (s structFields) find(name string) (reflect.Type, bool) {
	for _, f := range s {
		if f.name == name {
			return f.value, true
		}
	}
	return nil, false
}

func (s structFields) names() string {
	names := make([]string, 0, len(s))
	for _, f := range s {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
