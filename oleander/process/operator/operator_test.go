package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/standin/objects"
	"oleanderdale.org/oleander/standin/tablesvc"
	"oleanderdale.org/oleander/version/configfile"
	"oleanderdale.org/oleander/version/publish"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleander": func() { os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts against stand-ins for the platform. The instances at
// $CONFIRMS_A and $CONFIRMS_B confirm every version, the one at $BEHIND_B stays at
// version 0, and connections to $SILENT fail.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs(filepath.Join("..", "..", "..", "examples"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("OLEANDER_TABLE_URL", startServer(env, tablesvc.New()))
			env.Setenv("OLEANDER_OBJECT_URL", startServer(env, objects.New()))
			env.Setenv("OLEANDER_AUTHOR", "ann")
			env.Setenv("CONFIRMS_A", startInstance(env, "a", 99))
			env.Setenv("CONFIRMS_B", startInstance(env, "b", 99))
			env.Setenv("BEHIND_B", startInstance(env, "b", 0))
			closed := httptest.NewServer(http.NotFoundHandler())
			closed.Close()
			env.Setenv("SILENT", strings.TrimPrefix(closed.URL, "http://"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exitcode": exitCodeIs},
	})
}

// TestExitCodes checks the exit code of each kind of error, wrapped as commands return
// it.
func TestExitCodes(t *testing.T) {
	for want, err := range map[int]error{
		ExitFailure:      publish.ErrUnavailable,
		ExitUsage:        configfile.ErrNoFiles,
		ExitConflict:     &publish.ConflictError{Version: 2},
		ExitUnknown:      publish.ErrOutcomeUnknown,
		ExitNotConfirmed: errNotConfirmed,
	} {
		if got := exitCode(errors.WithStack(err)); got != want {
			t.Errorf("%v: exit code %d, want %d", err, got, want)
		}
	}
}

func startServer(env *testscript.Env, h http.Handler) string {
	s := httptest.NewServer(h)
	env.Defer(s.Close)
	return s.URL
}

func startInstance(env *testscript.Env, zone id.Zone, v id.ConfigVersion) string {
	url := startServer(env, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Status{Instance: "i-" + id.Instance(zone), Zone: zone, Version: v, Ready: true, ConfirmedAgeMillis: 300})
	}))
	return strings.TrimPrefix(url, "http://")
}

// exitCodeIs is the script command that checks an exit code: "exitcode 3 oleander …".
func exitCodeIs(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE COMMAND…")
	}
	got := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}
