package publish

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
	"oleanderdale.org/core/version"
)

// fakePlatform is a table and an object store in memory. onCommit and canRead, if set,
// determine the outcome of each commit and read.
type fakePlatform struct {
	mu       sync.Mutex
	rows     map[table.Key]table.Row
	objects  map[id.Digest][]byte
	commits  int
	onCommit func(n int) (takesEffect bool, reported table.Outcome) // for the n-th commit; if reported is Done, its real outcome is reported
	canRead  func() bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[table.Key]table.Row), objects: make(map[id.Digest][]byte)}
}

func (f *fakePlatform) Read(_ context.Context, keys []table.Key) ([]table.Row, table.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.canRead != nil && !f.canRead() {
		return nil, table.Unknown
	}
	var rows []table.Row
	for _, k := range keys {
		if r, ok := f.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, table.Done
}

func (f *fakePlatform) Scan(context.Context, table.Kind, string) ([]table.Row, table.Outcome) {
	return nil, table.NotExecuted
}

func (f *fakePlatform) Commit(_ context.Context, writes []table.Write) table.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.onCommit == nil {
		return f.applyWrites(writes)
	}
	takesEffect, reported := f.onCommit(f.commits)
	outcome := reported
	if takesEffect {
		if real := f.applyWrites(writes); reported == table.Done {
			outcome = real
		}
	}
	return outcome
}

func (f *fakePlatform) applyWrites(writes []table.Write) table.Outcome {
	for _, w := range writes {
		if f.rows[w.Key].Version != w.Expect {
			return table.Conflict
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = table.Row{Key: w.Key, Version: w.Expect + 1, Body: w.Body}
	}
	return table.Done
}

func (f *fakePlatform) Get(_ context.Context, d id.Digest) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.objects[d]; ok {
		return b, nil
	}
	return nil, errors.New("object not found")
}

func (f *fakePlatform) Put(_ context.Context, b []byte) (id.Digest, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := id.Digest(fmt.Sprint("object", len(f.objects)))
	f.objects[d] = b
	return d, nil
}

// testConfig returns a valid configuration with the given client accounts.
func testConfig(accounts ...string) *config.Config {
	c := &config.Config{
		Fleet:    config.Fleet{Zones: []id.Zone{"a"}, SlotsPerZone: 1, LoadsPerSecond: 1, LoadsAtOnce: 1, AdaptersInTransit: 1},
		Accounts: make(map[id.Account]config.Account),
	}
	for _, a := range accounts {
		c.Accounts[id.Account(a)] = config.Account{Name: id.Account(a), Rate: 1, Burst: 1, Weight: 1, Class: config.Batch}
	}
	return c
}

func apply(f *fakePlatform, author string, c *config.Config) (Result, error) {
	p := &Publisher{Table: f, Objects: f}
	return p.Apply(context.Background(), c, author, "apply of "+author, nil)
}

func mustApply(t *testing.T, f *fakePlatform, author string, c *config.Config) Result {
	t.Helper()
	r, err := apply(f, author, c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func load(t *testing.T, f *fakePlatform) *config.Config {
	t.Helper()
	s, err := (&Publisher{Table: f, Objects: f}).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s.Config
}

func TestVersionsAreConsecutive(t *testing.T) {
	f := newFakePlatform()
	for i := range 120 {
		c := testConfig("a", fmt.Sprint("b", i))
		if r := mustApply(t, f, "ann", c); r.Version != id.ConfigVersion(i+1) {
			t.Fatalf("version %d, want %d", r.Version, i+1)
		}
		if got := load(t, f); got.Version != id.ConfigVersion(i+1) || !version.Diff(got, c).Empty() {
			t.Fatalf("the loaded configuration is not the one applied as version %d", i+1)
		}
	}
	if len(f.objects) != 3 { // snapshots of versions 1, 50 and 100
		t.Errorf("%d snapshots, want 3", len(f.objects))
	}
}

func TestUnchangedConfiguration(t *testing.T) {
	f := newFakePlatform()
	mustApply(t, f, "ann", testConfig("a"))
	if r := mustApply(t, f, "bo", testConfig("a")); r.Version != 1 || !r.Change.Empty() || f.commits != 1 {
		t.Errorf("result %+v after %d commits, want version 1 after 1 commit", r, f.commits)
	}
}

func TestLargeChangeStoredAsObject(t *testing.T) {
	f := newFakePlatform()
	mustApply(t, f, "ann", testConfig("a"))
	var accounts []string
	for i := range 3000 {
		accounts = append(accounts, fmt.Sprint("account-with-a-long-name-", i))
	}
	mustApply(t, f, "ann", testConfig(accounts...))
	row := f.rows[version.RowKey(2)].Body.(table.Version)
	if row.ChangeObject == "" || row.Change != nil {
		t.Error("the change is stored in the version row")
	}
	if n := len(load(t, f).Accounts); n != len(accounts) {
		t.Errorf("%d accounts, want %d", n, len(accounts))
	}
}

// Two operators apply a change to the same version at the same time. One succeeds; the
// other gets a conflict with the author of the applied version, and nothing of its
// change is applied.
func TestConcurrentApply(t *testing.T) {
	f := newFakePlatform()
	mustApply(t, f, "ann", testConfig("a"))
	p := &Publisher{Table: f, Objects: f}
	interleaved := false
	f.onCommit = func(int) (bool, table.Outcome) {
		if !interleaved { // bo's transaction is executed just before cy's
			interleaved = true
			row := table.Version{Version: 2, ApplyID: "other", Author: "bo", Change: []byte(`{}`)}
			f.applyWrites([]table.Write{
				{Key: version.RowKey(2), Body: row},
				{Key: version.HeadKey(), Expect: 1, Body: table.Head{Version: 2}},
			})
		}
		return true, table.Done
	}
	_, err := p.Apply(context.Background(), testConfig("a", "c"), "cy", "x", nil)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Author != "bo" || conflict.Version != 2 {
		t.Fatalf("got %v", err)
	}
	if !strings.Contains(err.Error(), "bo") || load(t, f).Version != 2 {
		t.Errorf("error %v, at version %d, want author bo at version 2", err, load(t, f).Version)
	}
}

// Many operators apply different configurations at the same time. Each version has one
// author, and each Apply that succeeds wrote the version that it returned.
func TestManyConcurrentApplies(t *testing.T) {
	f := newFakePlatform()
	mustApply(t, f, "first", testConfig("a"))
	var wg sync.WaitGroup
	var mu sync.Mutex
	authors := make(map[id.ConfigVersion]string)
	for i := range 16 {
		wg.Go(func() {
			name := fmt.Sprint("op", i)
			r, err := apply(f, name, testConfig("a", name))
			var conflict *ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && authors[r.Version] == "":
				authors[r.Version] = name
			case !errors.As(err, &conflict):
				t.Errorf("%s: version %d, error %v", name, r.Version, err)
			}
		})
	}
	wg.Wait()
	for v, name := range authors {
		if row := f.rows[version.RowKey(v)].Body.(table.Version); row.Author != name {
			t.Errorf("version %d was written by %s, but Apply of %s returned it", v, row.Author, name)
		}
	}
	if int(load(t, f).Version) != len(authors)+1 {
		t.Errorf("at version %d after %d successful applies", load(t, f).Version, len(authors))
	}
}

// The response of a commit is lost, before or after the transaction took effect, and
// the table can or can't be read afterwards. Apply must report success or failure only
// if it is certain, and repeating it must not apply the change twice.
func TestLostResponses(t *testing.T) {
	type commitResult struct {
		takesEffect bool
		outcome     table.Outcome
	}
	lostRequest, lostResponse, committed := commitResult{false, table.Unknown}, commitResult{true, table.Unknown}, commitResult{true, table.Done}
	cases := []struct {
		name        string
		results     []commitResult // of the commits; the last one is used for all further commits
		failedReads int            // number of reads that fail after the first commit
		want        error          // nil if the change is applied
		version     id.ConfigVersion
	}{
		{"lost after the commit", []commitResult{lostResponse}, 0, nil, 2},
		{"lost before the commit, then sent again", []commitResult{lostRequest, committed}, 0, nil, 2},
		{"lost after the commit, first reads fail, sent again", []commitResult{lostResponse, committed}, maxReadAttempts, nil, 2},
		{"no responses, never committed", []commitResult{lostRequest}, 0, ErrOutcomeUnknown, 1},
		{"lost after the commit, all reads fail", []commitResult{lostResponse}, 99, ErrOutcomeUnknown, 2},
		{"never sent", []commitResult{{false, table.NotExecuted}}, 0, ErrUnavailable, 1},
		{"conflict, but no version row", []commitResult{{false, table.Conflict}}, 0, ErrUnavailable, 1},
		{"not sent, then lost", []commitResult{{false, table.NotExecuted}, lostRequest, {false, table.NotExecuted}}, 0, ErrOutcomeUnknown, 1},
	}
	for _, c := range cases {
		f := newFakePlatform()
		mustApply(t, f, "ann", testConfig("a"))
		f.commits = 0
		f.onCommit = func(n int) (bool, table.Outcome) {
			result := c.results[min(n, len(c.results))-1]
			return result.takesEffect, result.outcome
		}
		f.canRead = func() bool {
			if f.commits == 0 || c.failedReads == 0 {
				return true
			}
			c.failedReads--
			return false
		}
		if _, err := apply(f, "bo", testConfig("a", "b")); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		f.onCommit, f.canRead = nil, nil
		if v := load(t, f).Version; v != c.version {
			t.Errorf("%s: at version %d, want %d", c.name, v, c.version)
		}
		if r := mustApply(t, f, "bo", testConfig("a", "b")); r.Version != 2 {
			t.Errorf("%s: repeating gave version %d, want 2", c.name, r.Version)
		}
	}
}

func TestBaseVersionConflict(t *testing.T) {
	f := newFakePlatform()
	mustApply(t, f, "ann", testConfig("a"))
	mustApply(t, f, "bo", testConfig("b"))
	base := id.ConfigVersion(1)
	p := &Publisher{Table: f, Objects: f}
	_, err := p.Apply(context.Background(), testConfig("c"), "cy", "x", &base)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Author != "bo" || conflict.Version != 2 {
		t.Errorf("got %v", err)
	}
}

func TestCorruptTable(t *testing.T) {
	f := newFakePlatform()
	for i := range 4 {
		mustApply(t, f, "ann", testConfig(fmt.Sprint("a", i)))
	}
	delete(f.rows, version.RowKey(3))
	if _, err := apply(f, "bo", testConfig("b")); !errors.Is(err, ErrCorrupt) {
		t.Errorf("got %v", err)
	}
}
