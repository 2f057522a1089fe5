package front

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// Guards against messages that are charged or hashed otherwise than their elements.
func TestReadMessages(t *testing.T) {
	texts := []string{"[]", "[ ]", "null", "", `["a"]`, `[ {"a": [1, 2]} , "b,]\\\"" ,3,[[" "]],null]`}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var values []any
		for range rng.IntN(6) {
			values = append(values, []any{rng.IntN(1000), "x, y]\"\\ {", map[string]any{"k, ": []int{1, 2}}, nil, true}[rng.IntN(5)])
		}
		b, err := json.MarshalIndent(values, " ", "\t")
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(b))
	}
	for _, text := range texts {
		var elements []json.RawMessage
		if err := json.Unmarshal([]byte(text), &elements); err != nil && text != "" {
			t.Fatalf("%s: %v", text, err)
		}
		want := bytes.Join(rawBytes(elements), nil)
		if got := readMessages([]byte(text)); got.size != len(want) || !bytes.Equal(got.prefix, want[:min(prefixHashBytes, len(want))]) {
			t.Errorf("%s: %d bytes %q, want %d %q", text, got.size, got.prefix, len(want), want)
		}
	}
}

func rawBytes(elements []json.RawMessage) [][]byte {
	var all [][]byte
	for _, e := range elements {
		all = append(all, e)
	}
	return all
}
