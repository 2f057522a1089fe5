package engine_test

import (
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"

	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/clients/engine"
)

const openAPIFile = "../../../docs/api/engine.openapi.yaml"

// The OpenAPI description, from which engines are implemented, must list the
// same paths and JSON fields as the client uses.
func TestOpenAPIFieldNames(t *testing.T) {
	raw, err := os.ReadFile(openAPIFile)
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Paths      map[string]any
		Components struct {
			Schemas map[string]struct{ Properties map[string]any }
		}
	}
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		t.Fatal(err)
	}
	if got := slices.Sorted(maps.Keys(doc.Paths)); !slices.Equal(got, []string{engine.OrdersPath, engine.ReportPath}) {
		t.Errorf("unexpected paths %v", got)
	}
	for name, v := range map[string]any{
		"Order": engine.OrderRequest{}, "Report": message.Report{},
		"Held": message.HeldArtifact{}, "Cached": message.CachedArtifact{},
	} {
		got := slices.Sorted(maps.Keys(doc.Components.Schemas[name].Properties))
		if want := jsonFieldNames(reflect.TypeOf(v)); !slices.Equal(got, want) {
			t.Errorf("schema %s has the fields %v, want %v", name, got, want)
		}
	}
}

// jsonFieldNames returns the sorted JSON names of the fields of a struct type.
func jsonFieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return slices.Sorted(slices.Values(names))
}
