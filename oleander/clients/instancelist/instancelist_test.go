package instancelist_test

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/clients/instancelist"
	"oleanderdale.org/oleander/internal/testutil"
	standin "oleanderdale.org/oleander/standin/instancelist"
)

const (
	shortTimeout = 500 * time.Millisecond // for servers that respond later than this
	seed         = 1
)

var (
	entry   = event.Member{Name: "entry-a-1", Address: "127.0.0.1:7000", Zone: "a"}
	backend = event.Member{Name: "gpu-a-1", Address: "127.0.0.1:9000", Zone: "a", Group: "gpu"}
)

func newClient(t *testing.T, url string, timeout time.Duration) *instancelist.Client {
	t.Helper()
	c, err := instancelist.New(instancelist.Settings{URL: url, Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newHarness returns a client and the simulated list that it reads, with one
// instance and one backend server.
func newHarness(t *testing.T, timeout time.Duration) (*instancelist.Client, *standin.List) {
	t.Helper()
	l := standin.New(seed)
	url := testutil.Serve(t, l)
	t.Cleanup(func() { l.Close() })
	l.Put(backend)
	l.Put(entry)
	return newClient(t, url+standin.ListPath+"?reader=a", timeout), l
}

func TestRead(t *testing.T) {
	leaving := backend
	leaving.Leaving = true
	tests := []struct {
		name   string
		faults standin.Faults
		change func(*standin.List)
		want   []event.Member
	}{
		{"two entries", standin.Faults{}, func(*standin.List) {}, []event.Member{entry, backend}},
		{"shuffled", standin.Faults{Shuffle: true}, func(*standin.List) {}, []event.Member{entry, backend}},
		{"leaving", standin.Faults{}, func(l *standin.List) { l.SetLeaving(backend.Name) }, []event.Member{entry, leaving}},
		{"deleted", standin.Faults{}, func(l *standin.List) { l.Delete(backend.Name) }, []event.Member{entry}},
		{"lagging", standin.Faults{Lag: time.Hour}, func(*standin.List) {}, []event.Member{}},
		// An outdated list shows a leaving server as live again. The client
		// returns it as it is; package core/process/member remembers that the
		// server is leaving.
		{"stale by one change", standin.Faults{StaleResponses: 1}, func(l *standin.List) { l.SetLeaving(backend.Name) }, []event.Member{entry, backend}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, l := newHarness(t, testutil.Timeout)
			test.change(l)
			l.SetFaults(test.faults)
			if got, err := c.Read(context.Background()); err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("list %+v, error %v; want %+v", got, err, test.want)
			}
		})
	}
}

// A failed read gives a typed error and no list. A partial list would make the
// missing instances look as if they had stopped.
func TestReadFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
		want    error
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout, instancelist.ErrUnavailable},
		{"cut off", standin.Faults{BlockedReaders: []string{"a"}}, testutil.Timeout, instancelist.ErrUnavailable},
		{"slower than the timeout", standin.Faults{Delay: 4 * shortTimeout}, shortTimeout, instancelist.ErrUnavailable},
		{"garbage", standin.Faults{MalformedResponses: 1}, testutil.Timeout, instancelist.ErrMalformed},
		{"oversized", standin.Faults{OversizedResponses: 1}, testutil.Timeout, instancelist.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, l := newHarness(t, test.timeout)
			l.SetFaults(test.faults)
			if got, err := c.Read(context.Background()); got != nil || !errors.Is(err, test.want) {
				t.Errorf("list %v, error %v; want %v", got, err, test.want)
			}
		})
	}
}

func TestMalformedLists(t *testing.T) {
	const validEntry = `{"targets":["127.0.0.1:1"],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a"}}`
	tests := []struct{ name, body string }{
		{"null", `null`},
		{"object", `{}`},
		{"data after the list", `[] []`},
		{"unknown field", `[{"target":["127.0.0.1:1"]}]`},
		{"no name", `[{"targets":["127.0.0.1:1"],"labels":{"__meta_oleanderdale_zone":"a"}}]`},
		{"no zone", `[{"targets":["127.0.0.1:1"],"labels":{"__meta_oleanderdale_name":"n"}}]`},
		{"no target", `[{"targets":[],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a"}}]`},
		{"two targets", `[{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a"}}]`},
		{"no port", `[{"targets":["127.0.0.1"],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a"}}]`},
		{"port 0", `[{"targets":["127.0.0.1:0"],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a"}}]`},
		{"invalid label for leaving", `[{"targets":["127.0.0.1:1"],"labels":{"__meta_oleanderdale_name":"n","__meta_oleanderdale_zone":"a","__meta_oleanderdale_leaving":"soon"}}]`},
		{"same name twice", `[` + validEntry + `,` + validEntry + `]`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url := testutil.ServeText(t, test.body)
			if got, err := newClient(t, url, testutil.Timeout).Read(context.Background()); got != nil || !errors.Is(err, instancelist.ErrMalformed) {
				t.Errorf("list %v, error %v; want ErrMalformed", got, err)
			}
		})
	}
}
