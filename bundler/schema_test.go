package bundler_test

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
)

type schema struct {
	Type       string            `json:"type"`
	Ref        string            `json:"$ref"`
	Additional *bool             `json:"additionalProperties"`
	Required   []string          `json:"required"`
	Properties map[string]schema `json:"properties"`
	Items      *schema           `json:"items"`
	Defs       map[string]schema `json:"$defs"`
}

// Guards against a published schema whose fields, types or required fields
// differ from those that the parser accepts.
func TestSchemaMatchesDocument(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../docs/bundle.schema.json")
	is.NoErr(err)
	var root schema
	is.NoErr(json.Unmarshal(text, &root))
	compare(t, "bundle", root.Defs, root, reflect.TypeFor[bundler.Document]())
}

func compare(t *testing.T, field string, defs map[string]schema, s schema, typ reflect.Type) {
	t.Helper()
	is := is.New(t)
	if s.Ref != "" {
		s = defs[strings.TrimPrefix(s.Ref, "#/$defs/")]
	}
	types := map[reflect.Kind]string{
		reflect.Struct: "object", reflect.Slice: "array", reflect.String: "string",
		reflect.Bool: "boolean", reflect.Int: "integer", reflect.Float64: "number",
	}
	if s.Type != "" && s.Type != types[typ.Kind()] {
		t.Errorf("%s has type %s in the schema and %s in the document", field, s.Type, types[typ.Kind()])
	}
	if typ.Kind() == reflect.Slice {
		compare(t, field+"[]", defs, *s.Items, typ.Elem())
		return
	}
	if typ.Kind() != reflect.Struct {
		return
	}
	is.True(s.Additional != nil && !*s.Additional) // closed object
	var required []string
	for i := range typ.NumField() {
		name, rest, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		property, ok := s.Properties[name]
		if !ok {
			t.Errorf("%s.%s is not in the schema", field, name)
			continue
		}
		if rest == "" {
			required = append(required, name)
		}
		compare(t, field+"."+name, defs, property, typ.Field(i).Type)
	}
	is.Equal(len(s.Properties), typ.NumField()) // no other properties
	slices.Sort(required)
	slices.Sort(s.Required)
	is.Equal(s.Required, required)
}
