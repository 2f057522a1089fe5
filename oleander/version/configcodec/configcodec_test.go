package configcodec

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/version"
)

func sample() *config.Config {
	return &config.Config{
		Version:   7,
		Fleet:     config.Fleet{Zones: []id.Zone{"a"}, SlotsPerZone: 1},
		Artifacts: map[id.Artifact]config.Artifact{"m": {Name: "m", Bytes: 1}, "m:a": {Name: "m:a"}},
		Keys:      map[id.Digest]config.Key{"d": {Digest: "d", Account: "x"}},
		Approvals: map[config.Approval]struct{}{{Account: "x", Model: "m"}: {}},
	}
}

func TestRoundTrip(t *testing.T) {
	snapshot, err := EncodeSnapshot(sample())
	if err != nil {
		t.Fatal(err)
	}
	got := DecodeConfig(event.DecodeConfig{Version: 7, Snapshot: snapshot})
	if got.Err != "" || !reflect.DeepEqual(got.Config, sample()) {
		t.Fatalf("got %+v", got)
	}
	next := sample()
	next.Keys = nil
	change, err := EncodeChange(version.Diff(sample(), next))
	if err != nil {
		t.Fatal(err)
	}
	applied := DecodeConfig(event.DecodeConfig{Version: 8, Base: got.Config, Change: change})
	if applied.Err != "" || len(applied.Config.Keys) != 0 || applied.Config.Version != 8 {
		t.Fatalf("got %+v", applied)
	}
	if again := DecodeConfig(event.DecodeConfig{Version: 9, Base: got.Config, Change: change}); again.Err == "" {
		t.Error("decoded a change as a version that does not directly follow its base")
	}
}

func TestStrictDecoding(t *testing.T) {
	encoded, err := EncodeSnapshot(sample())
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string][]byte{
		"unknown field":        []byte(`{"fleets":{}}`),
		"data after the value": []byte(`{} {}`),
		"truncated":            []byte(`{"fleet":`),
		"empty":                nil,
		"not JSON":             []byte("kind: fleet"),
	} {
		if _, err := DecodeChange(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v", name, err)
		}
		if _, err := DecodeSnapshot(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s as snapshot: got error %v", name, err)
		}
	}
	if _, err := DecodeSnapshot(encoded[:len(encoded)-3]); !errors.Is(err, ErrMalformed) {
		t.Errorf("truncated snapshot: got error %v", err)
	}
	if _, err := DecodeChange(bytes.Repeat([]byte(" "), MaxEncodedSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversized change: got error %v", err)
	}
}

func TestDeterministicEncoding(t *testing.T) {
	first, _ := EncodeSnapshot(sample())
	for range 20 {
		if again, _ := EncodeSnapshot(sample()); !bytes.Equal(first, again) {
			t.Fatal("two encodings of the same configuration differ")
		}
	}
}
