package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/version"
	"oleanderdale.org/oleander/version/configfile"
)

// files are the configuration files given to a command.
type files struct {
	Files []string `arg:"" name:"files" help:"Files, or directories with .yaml files; together they are the whole configuration." env:"OLEANDER_FILES"`
}

func (f *files) load() (*config.Config, error) { return configfile.Load(f.Files...) }

type checkCommand struct {
	files
}

// Run implements the command.
func (c *checkCommand) Run(s *streams) error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	models, adapters := 0, 0
	for name := range loaded.Artifacts {
		if name.IsAdapter() {
			adapters++
		} else {
			models++
		}
	}
	fmt.Fprintf(s.out, "ok: %d availability zones, %d groups, %d models, %d adapters, %d services, %d client accounts, %d keys, %d approvals\n",
		len(loaded.Fleet.Zones), len(loaded.Groups), models, adapters,
		len(loaded.Services), len(loaded.Accounts), len(loaded.Keys), len(loaded.Approvals))
	return nil
}

type planCommand struct {
	files
	platform
}

// Run implements the command.
func (c *planCommand) Run(ctx context.Context, s *streams) error {
	wanted, err := c.load()
	if err != nil {
		return err
	}
	p, err := c.publisher()
	if err != nil {
		return err
	}
	state, err := p.Load(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "against version %d:\n", state.Config.Version)
	printChange(s.out, state.Config, version.Diff(state.Config, wanted))
	return nil
}

// printChange prints one line per item: "+" added, "~" changed, "-" removed. Keys are
// shown by label and account instead of digest.
func printChange(w io.Writer, base *config.Config, c version.Change) {
	if c.Empty() {
		fmt.Fprintln(w, "nothing to change")
		return
	}
	if c.Fleet != nil {
		fmt.Fprintln(w, "~ fleet")
	}
	printDelta(w, "group", base.Groups, c.Groups,
		func(g config.Group) id.Group { return g.Name }, keyText[id.Group])
	printDelta(w, "model or adapter", base.Artifacts, c.Artifacts,
		func(a config.Artifact) id.Artifact { return a.Name }, keyText[id.Artifact])
	printDelta(w, "service", base.Services, c.Services,
		func(v config.Service) id.Service { return v.Name }, keyText[id.Service])
	printDelta(w, "account", base.Accounts, c.Accounts,
		func(a config.Account) id.Account { return a.Name }, keyText[id.Account])
	keys := make(map[id.Digest]config.Key)
	for _, k := range c.Keys.Put {
		keys[k.Digest] = k
	}
	printDelta(w, "key", base.Keys, c.Keys,
		func(k config.Key) id.Digest { return k.Digest },
		func(d id.Digest) string {
			k := cmp.Or(keys[d], base.Keys[d])
			return fmt.Sprintf("%q of account %s", k.Label, k.Account)
		})
	printDelta(w, "approval", nil, c.Approvals,
		func(a config.Approval) config.Approval { return a }, version.ApprovalName)
}

func keyText[K ~string](k K) string { return string(k) }

func printDelta[K comparable, V any](w io.Writer, kind string, base map[K]V, d version.Delta[K, V], key func(V) K, label func(K) string) {
	for _, v := range d.Put {
		sign := "+"
		if _, ok := base[key(v)]; ok {
			sign = "~"
		}
		fmt.Fprintf(w, "%s %s %s\n", sign, kind, label(key(v)))
	}
	for _, k := range d.Remove {
		fmt.Fprintf(w, "- %s %s\n", kind, label(k))
	}
}
