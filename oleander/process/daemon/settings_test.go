package daemon

import (
	"strings"
	"testing"
	"time"
)

func validSettings() Settings {
	return Settings{
		Name: "lahore-a-1", Zone: "lahore-a", Listen: "127.0.0.1:1", Admin: "127.0.0.1:2", Peer: "127.0.0.1:3",
		TableURL: "http://10.0.0.1:8000", ObjectURL: "http://10.0.0.1:9000", ListURL: "http://10.0.0.1/instances",
		LeaseTerm: 9 * time.Second, ListEvery: time.Second, TableLimit: 2 * time.Second, DrainDelay: time.Second,
		Grace: time.Minute, Deadline: time.Minute, MemoryMB: 256, MaxBody: 1 << 20, MaxConnections: 10,
	}
}

// TestInvalidSettingsAreRejected checks that each invalid setting is rejected with
// an error that names the flag, the value and what is allowed.
func TestInvalidSettingsAreRejected(t *testing.T) {
	s := validSettings()
	if err := s.Validate(); err != nil || s.Advertise != s.Peer {
		t.Fatalf("valid settings: %v, advertise %q", err, s.Advertise)
	}
	for _, c := range []struct {
		change     func(*Settings)
		wantPrefix string
	}{
		{func(s *Settings) { s.Name = "Lahore 1" }, "--name=Lahore 1: allowed is lower-case"},
		{func(s *Settings) { s.Zone = "" }, "--zone=: allowed is"},
		{func(s *Settings) { s.Listen = "localhost:80" }, "--listen=localhost:80: allowed is an IP address"},
		{func(s *Settings) { s.Admin = "127.0.0.1" }, "--admin=127.0.0.1: allowed is"},
		{func(s *Settings) { s.Advertise = "x" }, "--advertise=x: allowed is"},
		{func(s *Settings) { s.TableURL = "10.0.0.1:8000" }, "--table-url=10.0.0.1:8000: allowed is a URL"},
		{func(s *Settings) { s.ListURL = "ftp://x" }, "--list-url=ftp://x: allowed is a URL"},
		{func(s *Settings) { s.LeaseTerm = time.Second }, "--lease-term=1s: allowed is 2s to 5m0s"},
		{func(s *Settings) { s.TableLimit = time.Minute }, "--table-limit=1m0s: allowed is 50ms to 4.5s"},
		{func(s *Settings) { s.Grace = -1 }, "--grace=-1ns: allowed is 0s to 1h0m0s"},
		{func(s *Settings) { s.MemoryMB = 1 }, "--memory-mb=1: allowed is 48 to"},
		{func(s *Settings) { s.MaxBody = 1 }, "--max-body=1: allowed is 1024 to"},
		{func(s *Settings) { s.MaxConnections = 0 }, "--max-connections=0: allowed is 1 to"},
	} {
		s := validSettings()
		c.change(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), c.wantPrefix) {
			t.Errorf("got %v, want %s…", err, c.wantPrefix)
		}
	}
}

// TestRestartChangesInstanceName checks that two runs under one name get different
// instance names. The session and rate slots of the previous run may still be in
// the table and must not be taken for those of the new one.
func TestRestartChangesInstanceName(t *testing.T) {
	a, err := newInstanceName("x")
	if err != nil {
		t.Fatal(err)
	}
	b, err := newInstanceName("x")
	if err != nil || a == b || !strings.HasPrefix(string(b), "x.") {
		t.Errorf("%s, then %s, %v", a, b, err)
	}
}
