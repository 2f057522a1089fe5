// Package publish makes a configuration the newest one in the table service:
// all of it or nothing, once, and never over another operator's work.
package publish

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
	"oleanderdale.org/core/version"
	"oleanderdale.org/oleander/version/configcodec"
)

// The bounds of the tries of one operation.
const (
	maxReadAttempts   = 4
	maxCommitAttempts = 4
	rowsPerRead       = 16
)

// MaxInline is the largest encoded change that stands in its row; a larger one
// is put into the object store.
const MaxInlineChangeSize = 200_000

var (
	// ErrUnavailable says that the table or the object store could not be
	// read or written. Nothing was applied.
	ErrUnavailable = errors.New("table or object store not available; nothing was applied")
	// ErrUnknown says that the answer to the transaction was lost and the
	// table could not be read afterwards. Repeating the apply is safe.
	ErrOutcomeUnknown = errors.New("outcome unknown: the change may or may not have been applied; repeating is safe")
	// ErrDamaged says that the table's configuration can't be reconstructed.
	ErrCorrupt = errors.New("the configuration in the table is damaged")
	// ErrInvalid says that the wanted configuration has problems.
	ErrInvalid = errors.New("configuration is invalid")
)

// ConflictError says that another operator's change came first. Nothing of
// this one was applied.
type ConflictError struct {
	Version id.ConfigVersion // that the other one wrote
	Author  string           // its author, "" if that could not be read
}

// Error implements error.
func (e *ConflictError) Error() string {
	author := e.Author
	if author == "" {
		author = "another operator"
	}
	return fmt.Sprintf("version %d was applied by %s meanwhile; nothing was applied", e.Version, author)
}

// Table is what this package needs of the table service. Read must be
// consistent.
type Table interface {
	Read(ctx context.Context, keys []table.Key) ([]table.Row, table.Outcome)
	Scan(ctx context.Context, kind table.Kind, prefix string) ([]table.Row, table.Outcome)
	Commit(ctx context.Context, writes []table.Write) table.Outcome
}

// Objects is what this package needs of the object store.
type ObjectStore interface {
	Get(ctx context.Context, d id.Digest) ([]byte, error)
	Put(ctx context.Context, body []byte) (id.Digest, error)
}

// Publisher loads and applies configurations.
type Publisher struct {
	Table   Table
	Objects ObjectStore
	// Pause, if set, waits between two tries; it returns an error to give up.
	Backoff func(ctx context.Context) error
}

// State is the newest configuration in the table.
type State struct {
	Config         *config.Config // at version 0 if nothing was applied yet
	headRowVersion uint64         // version of the head row, 0 if absent
}

// Result says what an apply did.
type Result struct {
	Version id.ConfigVersion // now the newest
	Change  version.Change   // empty if nothing had to be done
}

// Load reads the newest configuration. The error wraps ErrUnavailable or
// ErrDamaged.
func (p *Publisher) Load(ctx context.Context) (State, error) {
	rows, err := p.readRows(ctx, []table.Key{version.HeadKey()})
	if err != nil {
		return State{}, err
	}
	if len(rows) == 0 {
		return State{Config: &config.Config{}}, nil
	}
	head, ok := rows[0].Body.(table.Head)
	if !ok {
		return State{}, errors.Wrap(ErrCorrupt, "head row")
	}
	c, err := p.loadVersion(ctx, head.Version)
	if err != nil {
		return State{}, err
	}
	return State{Config: c, headRowVersion: rows[0].Version}, nil
}

// Apply makes wanted the newest configuration. base, if not nil, is what the
// operator planned against: if the table has moved on since, the result is a
// conflict. author and applyID are written into the row; applyID must be new.
// If wanted is in force already, nothing is written. The error is a
// *ConflictError or wraps ErrInvalid, ErrUnavailable, ErrUnknown or ErrDamaged.
func (p *Publisher) Apply(ctx context.Context, desired *config.Config, author, applyID string, base *id.ConfigVersion) (Result, error) {
	if problems := version.Validate(desired); len(problems) > 0 {
		return Result{}, errors.Wrap(ErrInvalid, problems[0].String())
	}
	s, err := p.Load(ctx)
	if err != nil {
		return Result{}, err
	}
	if base != nil && *base != s.Config.Version {
		return Result{}, p.conflictError(ctx, s.Config.Version)
	}
	change := version.Diff(s.Config, desired)
	if change.Empty() {
		return Result{Version: s.Config.Version}, nil
	}
	row, err := p.newVersionRow(ctx, s, change, author, applyID)
	if err != nil {
		return Result{}, err
	}
	if err := p.commit(ctx, s, row); err != nil {
		return Result{}, err
	}
	return Result{Version: row.Version, Change: change}, nil
}

// row prepares the version row. Its objects are stored first, so that no row
// ever names an object that is not there.
func (p *Publisher) newVersionRow(ctx context.Context, s State, change version.Change, author, applyID string) (table.Version, error) {
	next, err := version.Apply(s.Config, change)
	if err != nil {
		return table.Version{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	body, err := configcodec.EncodeChange(change)
	if err != nil {
		return table.Version{}, errors.Wrap(ErrInvalid, err.Error())
	}
	row := table.Version{Version: next.Version, ApplyID: applyID, Author: author, Change: body}
	if len(body) > MaxInlineChangeSize {
		row.Change = nil
		if row.ObjectOf, err = p.putObject(ctx, body); err != nil {
			return table.Version{}, err
		}
	}
	if version.HasSnapshot(next.Version) {
		row.Snapshot, err = p.putSnapshot(ctx, next)
	}
	return row, err
}

func (p *Publisher) putSnapshot(ctx context.Context, c *config.Config) (id.Digest, error) {
	body, err := configcodec.EncodeSnapshot(c)
	if err != nil {
		return "", errors.Wrap(ErrInvalid, err.Error())
	}
	return p.putObject(ctx, body)
}

func (p *Publisher) putObject(ctx context.Context, body []byte) (id.Digest, error) {
	d, err := p.Objects.Put(ctx, body)
	if err != nil {
		return "", errors.Wrapf(ErrUnavailable, "store object: %v", err)
	}
	return d, nil
}

// commit writes the version row and moves the head in one transaction.
//
// An answer can be lost after the transaction took effect, or before, or while
// it is still under way; one reading that finds no row does not tell these
// apart. Sending the same transaction again does: its conditions let it take
// effect at most once, and whoever finds the row compares the apply ID.
func (p *Publisher) commit(ctx context.Context, s State, row table.Version) error {
	writes := []table.Write{
		{Key: version.RowKey(row.Version), Expect: 0, Body: row},
		{Key: version.HeadKey(), Expect: s.headRowVersion, Body: table.Head{Version: row.Version}},
	}
	mayHaveCommitted := false // a try may have taken effect, or may still
	for attempt := range maxCommitAttempts {
		if attempt > 0 && p.backoff(ctx) != nil {
			break
		}
		outcome := p.Table.Commit(ctx, writes)
		switch outcome {
		case table.Done:
			return nil
		case table.NotDone:
			continue
		case table.Unknown:
			mayHaveCommitted = true
		}
		existing, found := p.versionRow(ctx, row.Version)
		switch {
		case found && existing.ApplyID == row.ApplyID:
			return nil
		case found:
			return &ConflictError{Version: existing.Version, Author: existing.Author}
		}
	}
	if mayHaveCommitted {
		return errors.WithStack(ErrOutcomeUnknown)
	}
	return errors.Wrap(ErrUnavailable, "write version")
}

// winner reads who wrote version v; found is false if nobody did, or if the
// row could not be read.
func (p *Publisher) versionRow(ctx context.Context, v id.ConfigVersion) (row table.Version, found bool) {
	rows, err := p.readRows(ctx, []table.Key{version.RowKey(v)})
	if err != nil || len(rows) == 0 {
		return table.Version{}, false
	}
	row, found = rows[0].Body.(table.Version)
	return row, found
}

func (p *Publisher) conflictError(ctx context.Context, v id.ConfigVersion) error {
	existing, _ := p.versionRow(ctx, v)
	return &ConflictError{Version: v, Author: existing.Author}
}

// config reconstructs version v from the newest snapshot up to it and the
// changes after that.
func (p *Publisher) loadVersion(ctx context.Context, v id.ConfigVersion) (*config.Config, error) {
	if v == 0 {
		return &config.Config{}, nil
	}
	start := version.SnapshotAt(v)
	rows, err := p.versionRows(ctx, start, v)
	if err != nil {
		return nil, err
	}
	body, err := p.getObject(ctx, rows[0].Snapshot)
	if err != nil {
		return nil, err
	}
	c, err := configcodec.DecodeSnapshot(body)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot of version %d: %v", start, err)
	}
	for _, row := range rows[1:] {
		if c, err = p.applyRow(ctx, c, row); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (p *Publisher) applyRow(ctx context.Context, c *config.Config, row table.Version) (*config.Config, error) {
	body := row.Change
	if row.ObjectOf != "" {
		var err error
		if body, err = p.getObject(ctx, row.ObjectOf); err != nil {
			return nil, err
		}
	}
	change, err := configcodec.DecodeChange(body)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "version %d: %v", row.Version, err)
	}
	next, err := version.Apply(c, change)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "version %d: %v", row.Version, err)
	}
	return next, nil
}

// versions reads the rows from first to last, all of which must be there.
func (p *Publisher) versionRows(ctx context.Context, first, last id.ConfigVersion) ([]table.Version, error) {
	var list []table.Version
	for v := first; v <= last; v += rowsPerRead {
		rows, err := p.readRows(ctx, version.RowKeys(v, min(last, v+rowsPerRead-1)))
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			if row, ok := r.Body.(table.Version); ok {
				list = append(list, row)
			}
		}
	}
	for i, row := range list {
		if row.Version != first+id.ConfigVersion(i) {
			return nil, errors.Wrapf(ErrCorrupt, "version %d is missing", first+id.ConfigVersion(i))
		}
	}
	if len(list) != int(last-first)+1 {
		return nil, errors.Wrapf(ErrCorrupt, "%d of versions %d to %d are missing", int(last-first)+1-len(list), first, last)
	}
	return list, nil
}

func (p *Publisher) getObject(ctx context.Context, d id.Digest) ([]byte, error) {
	body, err := p.Objects.Get(ctx, d)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read object %s: %v", d, err)
	}
	return body, nil
}

// read repeats a read that failed; reading has no effect.
func (p *Publisher) readRows(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	for attempt := range maxReadAttempts {
		if attempt > 0 && p.backoff(ctx) != nil {
			break
		}
		if rows, outcome := p.Table.Read(ctx, keys); outcome == table.Done {
			return rows, nil
		}
	}
	return nil, errors.Wrap(ErrUnavailable, "read table")
}

func (p *Publisher) backoff(ctx context.Context) error {
	if err := ctx.Err(); err != nil || p.Backoff == nil {
		return err
	}
	return p.Backoff(ctx)
}
