package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Write writes the report as text tables.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s to %s: %d lines, %d requests, %d sent more than once\n",
		r.From.Format("2006-01-02 15:04:05"), r.To.Format("15:04:05"), r.Lines, r.Requests, r.Resent)
	if r.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", r.Unreadable)
	}
	if r.DropNotices > 0 {
		fmt.Fprintf(&b, "%d lines say that others were left out: counts are too low\n", r.DropNotices)
	}
	for _, section := range []func(*tabwriter.Writer){r.writeBurn, r.writeWindows, r.writeLate, r.writeCold, r.writeAccounts, r.writeIdle, r.writeReasons} {
		b.WriteByte('\n')
		t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		section(t)
		if err := t.Flush(); err != nil {
			return errors.Wrap(err, "report: write")
		}
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "report: write")
}

func (r *Report) writeBurn(t *tabwriter.Writer) {
	fmt.Fprintln(t, "route or class\tin time\tlate\trefused\tfailed\tcaller left\tburn\tworst window\tworst of 12\tlast window\tlast 12")
	for _, s := range r.Burn {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			s.Name, s.InTime, s.Late, s.Refused, s.Failed, s.CallerDisconnected, s.Burn, s.MaxShortBurn, s.MaxLongBurn, s.LastShortBurn, s.LastLongBurn)
	}
}

func (r *Report) writeWindows(t *tabwriter.Writer) {
	fmt.Fprintln(t, "window from\tin time\tlate\trefused\tfailed\tcaller left\tcold starts\tp50 ms\tp99 ms")
	for _, w := range r.Windows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			w.Start.Format("15:04:05.0"), w.InTime, w.Late, w.Refused, w.Failed, w.CallerDisconnected, w.ColdStarts.Count, w.ColdStarts.P50, w.ColdStarts.P99)
	}
}

func (r *Report) writeLate(t *tabwriter.Writer) {
	fmt.Fprintln(t, "late answers, by where most of the time went\trequests\tp50 ms\tp99 ms\tworst ms")
	for _, c := range slices.Sorted(maps.Keys(r.Late)) {
		l := r.Late[c]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", c, l.Count, l.FirstByte.P50, l.FirstByte.P99, l.FirstByte.Max)
	}
}

func (r *Report) writeCold(t *tabwriter.Writer) {
	c := r.ColdStarts
	fmt.Fprintln(t, "cold starts, time to the first part\tp50 ms\tp90 ms\tp99 ms\tworst ms")
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\n", c.Count, c.P50, c.P90, c.P99, c.Max)
}

func (r *Report) writeAccounts(t *tabwriter.Writer) {
	fmt.Fprintln(t, "account, the worst served first\tasked\twithin its rate\tanswered of these\tshare\trefused within\tgranted beyond, 8 s")
	for _, a := range r.Accounts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%d\t%.0f\n", a.Name, a.Requests, a.WithinRate, a.Answered, a.AnsweredShare, a.RefusedWithinRate, a.MaxOverGrant)
	}
}

func (r *Report) writeIdle(t *tabwriter.Writer) {
	fmt.Fprintf(t, "models held, engine hours\t%.3f\nof these without use\t%.3f\n", r.Idle.HeldHours, r.Idle.IdleHours)
	for _, m := range r.Idle.MostIdle {
		fmt.Fprintf(t, "%s\t%.3f held\t%.3f idle\n", m.Model, m.HeldHours, m.IdleHours)
	}
}

func (r *Report) writeReasons(t *tabwriter.Writer) {
	fmt.Fprintln(t, "reason\trequests")
	for _, name := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(t, "%s\t%d\n", name, r.Reasons[name])
	}
}
