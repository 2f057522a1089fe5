package operator

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/version/apikey"
)

type keyCommands struct {
	New keyNewCommand `cmd:"" help:"Make a key. It is printed once and kept nowhere."`
}

type keyNewCommand struct {
	Account string `help:"Client account that the key acts for." required:""`
	Label   string `help:"What operators call the key." required:""`
	Out     string `help:"File that the YAML document goes to instead of the standard output; it must not exist." type:"path"`
}

// keyDocument is the configuration document of a key, with its digest instead of the
// key itself.
type keyDocument struct {
	Kind    string    `yaml:"kind"`
	Account string    `yaml:"account"`
	Label   string    `yaml:"label"`
	Digest  id.Digest `yaml:"digest"`
}

// Run implements the command. The key is written to standard output only, never to a
// log, an error message or the document.
func (c *keyNewCommand) Run(s *streams) error {
	if c.Account == "" || c.Label == "" {
		return errors.Wrap(errUsage, "account and label must not be empty")
	}
	key := apikey.New()
	doc, err := yaml.Marshal(keyDocument{
		Kind: "key", Account: c.Account, Label: c.Label, Digest: apikey.Digest(key),
	})
	if err != nil {
		return errors.Wrap(err, "encode key document")
	}
	if c.Out == "" {
		_, err = fmt.Fprintf(s.out, "%s\n---\n%s", key, doc)
		return errors.Wrap(err, "print key")
	}
	// The document is written first, since a key without its document can't be used.
	if err := writeNew(c.Out, doc); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, key)
	return errors.Wrap(err, "print key")
}

// writeNew creates a file. It fails if the file exists, since overwriting it could
// lose the document of another key.
func writeNew(name string, body []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Wrap(err, "write key document")
	}
	if _, err := f.Write(body); err != nil {
		f.Close()
		return errors.Wrap(err, "write key document")
	}
	return errors.Wrap(f.Close(), "write key document")
}
