// Package publish writes a new configuration to the table service and the object
// store. A configuration is applied as a whole or not at all, at most once, and never
// overwrites a change that another operator applied at the same time.
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

// Limits of the requests for one operation.
const (
	maxReadAttempts   = 4
	maxCommitAttempts = 4
	rowsPerRead       = 16 // version rows in one request
)

// MaxInlineChangeSize is the maximum size, in bytes, of an encoded change that is
// stored in the version row. Larger changes are stored in the object store.
const MaxInlineChangeSize = 200_000

var (
	// ErrUnavailable means that the table or the object store could not be read
	// or written. Nothing was applied.
	ErrUnavailable = errors.New("table or object store unavailable; nothing was applied")
	// ErrOutcomeUnknown means that the response to the transaction was lost and
	// that the outcome could not be read from the table. Repeating the apply is
	// safe.
	ErrOutcomeUnknown = errors.New("outcome unknown: the change may or may not have been applied; repeating is safe")
	// ErrCorrupt means that the configuration can't be reconstructed from the
	// table and the object store.
	ErrCorrupt = errors.New("the stored configuration is corrupt")
	// ErrInvalid means that the desired configuration is invalid.
	ErrInvalid = errors.New("configuration is invalid")
)

// ConflictError means that another operator applied a change first. Nothing was
// applied.
type ConflictError struct {
	Version id.ConfigVersion // version that the other operator applied
	Author  string           // author of that version; empty if it could not be read
}

// Error implements error.
func (e *ConflictError) Error() string {
	author := e.Author
	if author == "" {
		author = "another operator"
	}
	return fmt.Sprintf("version %d was applied by %s meanwhile; nothing was applied", e.Version, author)
}

// Table is the table service. Read must be strongly consistent.
type Table interface {
	Read(ctx context.Context, keys []table.Key) ([]table.Row, table.Outcome)
	Scan(ctx context.Context, kind table.Kind, prefix string) ([]table.Row, table.Outcome)
	Commit(ctx context.Context, writes []table.Write) table.Outcome
}

// ObjectStore is the object store.
type ObjectStore interface {
	Get(ctx context.Context, d id.Digest) ([]byte, error)
	Put(ctx context.Context, body []byte) (id.Digest, error)
}

// Publisher loads and applies configurations.
type Publisher struct {
	Table   Table
	Objects ObjectStore
	// Backoff, if set, is called before each retry and waits. If it returns an
	// error, there are no further retries.
	Backoff func(ctx context.Context) error
}

// State is the newest configuration as read from the table.
type State struct {
	Config         *config.Config // empty, with version 0, if none has been applied yet
	headRowVersion uint64         // version of the head row; 0 if the row does not exist
}

// Result is the result of Apply.
type Result struct {
	Version id.ConfigVersion // the newest version after Apply
	Change  version.Change   // empty if nothing had to be changed
}

// Load reads the newest configuration. The error wraps ErrUnavailable or
// ErrCorrupt.
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
		return State{}, errors.Wrap(ErrCorrupt, "head row has the wrong type")
	}
	c, err := p.loadVersion(ctx, head.Version)
	if err != nil {
		return State{}, err
	}
	return State{Config: c, headRowVersion: rows[0].Version}, nil
}

// Apply makes desired the newest configuration. base, if not nil, is the version that
// the operator's plan was made for; if it is no longer the newest version, Apply
// returns a conflict. author and applyID are stored with the new version; applyID must
// be unique. If the newest configuration already equals desired, nothing is written.
// The error is a *ConflictError or wraps ErrInvalid, ErrUnavailable, ErrOutcomeUnknown
// or ErrCorrupt.
func (p *Publisher) Apply(ctx context.Context, desired *config.Config, author, applyID string, base *id.ConfigVersion) (Result, error) {
	if problems := version.Validate(desired); len(problems) > 0 {
		return Result{}, errors.Wrap(ErrInvalid, problems[0].String())
	}
	state, err := p.Load(ctx)
	if err != nil {
		return Result{}, err
	}
	if base != nil && *base != state.Config.Version {
		return Result{}, p.conflictError(ctx, state.Config.Version)
	}
	change := version.Diff(state.Config, desired)
	if change.Empty() {
		return Result{Version: state.Config.Version}, nil
	}
	row, err := p.newVersionRow(ctx, state, change, author, applyID)
	if err != nil {
		return Result{}, err
	}
	if err := p.commit(ctx, state, row); err != nil {
		return Result{}, err
	}
	return Result{Version: row.Version, Change: change}, nil
}

// newVersionRow returns the row of the next version. It stores the objects that the
// row refers to first, so that no row refers to an object that does not exist.
func (p *Publisher) newVersionRow(ctx context.Context, state State, change version.Change, author, applyID string) (table.Version, error) {
	next, err := version.Apply(state.Config, change)
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
		if row.ChangeObject, err = p.putObject(ctx, body); err != nil {
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
		return "", errors.Wrapf(ErrUnavailable, "write object: %v", err)
	}
	return d, nil
}

// commit writes the version row and updates the head row in one transaction.
//
// If the outcome of the transaction is unknown, it may have taken effect, may not have
// been executed, or may still be in progress. Reading the table and finding no row does
// not distinguish these cases. Sending the same transaction again does: its conditions
// let it take effect at most once, and the apply ID in the row that is found tells
// whether it was this one.
func (p *Publisher) commit(ctx context.Context, state State, row table.Version) error {
	writes := []table.Write{
		{Key: version.RowKey(row.Version), Expect: 0, Body: row},
		{Key: version.HeadKey(), Expect: state.headRowVersion, Body: table.Head{Version: row.Version}},
	}
	mayHaveCommitted := false // an attempt may have taken effect or may still do so
	for attempt := range maxCommitAttempts {
		if attempt > 0 && p.backoff(ctx) != nil {
			break
		}
		outcome := p.Table.Commit(ctx, writes)
		switch outcome {
		case table.Done:
			return nil
		case table.NotExecuted:
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
	return errors.Wrap(ErrUnavailable, "write the new version")
}

// versionRow reads the row of version v. found is false if the row does not exist or
// could not be read.
func (p *Publisher) versionRow(ctx context.Context, v id.ConfigVersion) (row table.Version, found bool) {
	rows, err := p.readRows(ctx, []table.Key{version.RowKey(v)})
	if err != nil || len(rows) == 0 {
		return table.Version{}, false
	}
	row, found = rows[0].Body.(table.Version)
	return row, found
}

// conflictError returns the error for a conflict with version v.
func (p *Publisher) conflictError(ctx context.Context, v id.ConfigVersion) error {
	existing, _ := p.versionRow(ctx, v)
	return &ConflictError{Version: v, Author: existing.Author}
}

// loadVersion reconstructs version v from the last snapshot at or before v and the
// changes after that snapshot.
func (p *Publisher) loadVersion(ctx context.Context, v id.ConfigVersion) (*config.Config, error) {
	if v == 0 {
		return &config.Config{}, nil
	}
	start := version.LatestSnapshot(v)
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

// applyRow applies the change in row, or in the object that row refers to, to c.
func (p *Publisher) applyRow(ctx context.Context, c *config.Config, row table.Version) (*config.Config, error) {
	body := row.Change
	if row.ChangeObject != "" {
		var err error
		if body, err = p.getObject(ctx, row.ChangeObject); err != nil {
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

// versionRows reads the rows of the versions from first to last. The error wraps
// ErrCorrupt if one of them is missing.
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

// readRows reads rows by key. It retries, which is safe because reads have no side
// effects.
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

// backoff waits before a retry. It returns an error if there must be no retry.
func (p *Publisher) backoff(ctx context.Context) error {
	if err := ctx.Err(); err != nil || p.Backoff == nil {
		return err
	}
	return p.Backoff(ctx)
}
