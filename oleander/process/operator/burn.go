package operator

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/process/burn"
)

// maxBurnResponse is the longest response of an instance that is read, in bytes.
const maxBurnResponse = 8 << 20

// burnCommand reports burn rates by client account and class.
type burnCommand struct {
	Instances []string `help:"Admin addresses (IP:port) of the entry instances." required:""`
	HTML      string   `help:"Also write the report as a page to this file." type:"path"`
}

// Run implements the command. If an instance did not answer, it reports the calls of
// the others and then fails, since the report is incomplete.
func (c *burnCommand) Run(ctx context.Context, s *streams) error {
	all, unreachable := c.collect(ctx)
	rows := burn.Merge(all...)
	if err := printBurn(s.out, rows); err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeBurnPage(c.HTML, rows); err != nil {
			return err
		}
	}
	if len(unreachable) > 0 {
		return errors.Wrapf(errNotAllReady, "no answer from %v", unreachable)
	}
	return nil
}

// collect queries all instances concurrently.
func (c *burnCommand) collect(ctx context.Context) (all [][]burn.Row, unreachable []string) {
	rows := make([][]burn.Row, len(c.Instances))
	failed := make([]bool, len(c.Instances))
	var wg sync.WaitGroup
	for i, address := range c.Instances {
		wg.Go(func() {
			var err error
			rows[i], err = fetchBurn(ctx, address)
			failed[i] = err != nil
		})
	}
	wg.Wait()
	for i, address := range c.Instances {
		if failed[i] {
			unreachable = append(unreachable, address)
		}
	}
	return rows, unreachable
}

func fetchBurn(ctx context.Context, address string) ([]burn.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/burn", nil)
	if err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errNoAnswer, resp.Status)
	}
	var rows []burn.Row
	err = json.NewDecoder(io.LimitReader(resp.Body, maxBurnResponse)).Decode(&rows)
	return rows, errors.Wrap(err, "decode burn report")
}

func printBurn(out io.Writer, rows []burn.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "ACCOUNT\tCLASS\tCALLS 5M\tBAD 5M\tBURN 5M\tCALLS 1H\tBAD 1H\tBURN 1H\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t\n", r.Account, r.Class,
			r.Short.Calls, r.Short.Bad, r.Short.BurnRate(), r.Long.Calls, r.Long.Bad, r.Long.BurnRate())
	}
	return errors.Wrap(w.Flush(), "print burn")
}

//go:embed burn.html
var burnHTML string

var burnPage = template.Must(template.New("burn").Parse(burnHTML))

// Scale and thresholds of the bars on the HTML page.
const (
	barWidth     = 300 // width in pixels of a bar for maxBarBurn
	maxBarBurn   = 20.0
	burnCritical = 10.0 // needs immediate attention in the short window
	burnWarning  = 1.0
)

// burnBar is a bar of the HTML page.
type burnBar struct {
	Burn   string
	Width  int
	Colour string
}

// burnTableRow is a row of the table on the HTML page.
type burnTableRow struct {
	Account, Class    string
	Calls, Bad        uint64
	ShortBar, LongBar burnBar
}

type burnReport struct {
	At    string
	Lines []burnTableRow
}

func newBurnBar(c burn.Count) burnBar {
	rate := c.BurnRate()
	colour := "#2a7d4f"
	switch {
	case rate >= burnCritical:
		colour = "#b3261e"
	case rate >= burnWarning:
		colour = "#c77700"
	}
	return burnBar{fmt.Sprintf("%.2f", rate), int(min(rate, maxBarBurn) / maxBarBurn * barWidth), colour}
}

func writeBurnPage(path string, rows []burn.Row) error {
	report := burnReport{At: time.Now().UTC().Format(time.RFC3339)}
	for _, r := range rows {
		report.Lines = append(report.Lines, burnTableRow{
			Account: string(r.Account), Class: string(r.Class), Calls: r.Long.Calls, Bad: r.Long.Bad,
			ShortBar: newBurnBar(r.Short), LongBar: newBurnBar(r.Long),
		})
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create burn page")
	}
	if err := burnPage.Execute(f, report); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write burn page")
	}
	return errors.Wrap(f.Close(), "write burn page")
}
