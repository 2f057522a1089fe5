package gateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/oleander/process/boottime"
)

// What is known of crashes is kept in the store: all instances may end at once, and a request that
// they refuse would crash servers again. One instance of each zone writes the record of its zone, with
// what it heard of all; each instance reads all records when it starts. A zone that is cut off from
// the others, but not from the store, learns from their records, too.

const (
	crashRecordCheckInterval = 100 * time.Millisecond
	// Between two writes are at least crashRecordInterval, and minorCrashRecordInterval if only
	// completed runs are new.
	crashRecordInterval      = 300 * time.Millisecond
	minorCrashRecordInterval = 5 * time.Second
	// crashRecordReadInterval is the time between two readings while an instance is not heard.
	crashRecordReadInterval = 2 * time.Second
	// firstCrashReadTimeout is how long the first manifest waits for the records.
	firstCrashReadTimeout = 500 * time.Millisecond
	// crashRecordRetry is the time after a call that failed.
	crashRecordRetry = 500 * time.Millisecond
	// An instance that could not read the records within doubtAfter started while the store was
	// silent, when crashes could not be written. It is in doubt for doubtPeriod.
	doubtAfter  = 3 * time.Second
	doubtPeriod = 30 * time.Second
	// maxCrashRecordBytes is well below the size of a row.
	maxCrashRecordBytes = 32 << 10
)

// crashRecords is what this instance knows of the records. Guarded by Gateway.mu.
type crashRecords struct {
	read    bool              // since the start
	stale   bool              // they must be read before the next write
	readAt  clock.Time        // last reading
	era     int64             // of the store at the last reading
	own     revision.Revision // of the record of this zone
	written poison.Changes    // as of the last write
	wroteAt clock.Time
	wrote   revision.Revision // by this instance
	// doubtUntil is when this instance ends to assume that there were crashes of which it can't know.
	doubtUntil clock.Time
}

// inDoubt reports whether there may have been crashes of which this instance can't know. The caller
// holds mu.
func (r *crashRecords) inDoubt(now, started clock.Time) bool {
	if !r.read {
		return now.Sub(started) > doubtAfter
	}
	return now.Before(r.doubtUntil)
}

// keepCrashes reads the crash records, and writes that of this zone while that is this instance's duty.
func (g *Gateway) keepCrashes() {
	for g.ctx.Err() == nil {
		ok := true
		if g.crashRecordsReadDue() {
			ok = g.readCrashRecords(storeTimeout)
		}
		if value, expect, due := g.crashRecordDue(); ok && due {
			ok = g.writeCrashRecord(value, expect)
		}
		if ok {
			g.sleep(crashRecordCheckInterval)
		} else {
			g.sleep(crashRecordRetry)
		}
	}
}

// handleDoubt ends the doubt of this instance once it hears one that knows of all crashes. The caller
// holds mu.
func (g *Gateway) handleDoubt(now clock.Time, b *heartbeatMsg, inDoubt bool) {
	if b.Name != g.settings.Name && !inDoubt {
		g.crashRecords.doubtUntil = min(g.crashRecords.doubtUntil, now)
	}
}

// writesCrashRecord reports whether this instance writes the record of its zone. The caller holds mu.
func (g *Gateway) writesCrashRecord(now clock.Time) bool {
	self := id.Instance(g.settings.Name)
	candidates := []id.Instance{self}
	for _, m := range g.members.All(now) {
		peer := g.peerStates[m.Name]
		if m.Zone == g.settings.Zone && m.Live(now) && !m.Leaving && peer != nil && !peer.storeUnreachable {
			candidates = append(candidates, id.Instance(m.Name))
		}
	}
	if len(candidates) > 1 && g.stopping.Load() {
		return false
	}
	return rendezvous.Owner("crash record", candidates) == self
}

// crashRecordsReadDue reports whether the records are to be read now.
func (g *Gateway) crashRecordsReadDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, r := boottime.Now(), &g.crashRecords
	if !r.read {
		return g.manifest.Load() != nil // the first manifest that the store returns comes after a reading
	}
	if !g.writesCrashRecord(now) {
		r.stale = true
		return false
	}
	return r.stale || r.era != g.storeEra.current || g.members.AnyMissing(now) && now.Sub(r.readAt) >= crashRecordReadInterval
}

// readCrashRecords reads the records, and reports whether it succeeded in time.
func (g *Gateway) readCrashRecords(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	began := boottime.Now()
	records, at, err := g.store.CrashRecords(ctx)
	g.metrics.storeCall("crashes-read", err == nil, boottime.Now().Sub(began))
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, r := boottime.Now(), &g.crashRecords
	first := !r.read
	r.read, r.stale, r.readAt, r.era, r.own = true, false, now, at.Era, revision.Revision{Era: at.Era}
	for _, record := range records {
		if record.Zone == g.settings.Zone {
			r.own = record.At
		}
		if len(record.Value) == 0 {
			continue
		}
		var m suspectsMsg
		if err := cbor.Unmarshal(record.Value, &m); err != nil {
			g.log.Warn().Str("zone", record.Zone).Err(err).Msg("crashes: invalid record ignored")
			continue
		}
		g.poison.MergeKept(now, m.report().Aged(record.Age))
	}
	if first && now.Sub(g.started) > doubtAfter {
		r.doubtUntil = now.Add(doubtPeriod)
	}
	if first {
		g.log.Info().Int("records", len(records)).Int("refused", g.poison.Refused(now)).Int("blamed", g.poison.Blamed(now)).
			Dur("running_for_ms", now.Sub(g.started)).Msg("crashes: read what is known from the store")
	}
	return true
}

// crashRecordDue returns the record of this zone and the revision that it replaces, if it is to be
// written now.
func (g *Gateway) crashRecordDue() (value []byte, expect revision.Revision, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, r := boottime.Now(), &g.crashRecords
	if !r.read || r.stale || !g.writesCrashRecord(now) {
		return nil, r.own, false
	}
	changes, age := g.poison.Changes(), now.Sub(r.wroteAt)
	lost := r.wrote != (revision.Revision{}) && r.own != r.wrote // the store is an older copy, or another instance wrote
	switch {
	case lost, changes.Urgent != r.written.Urgent:
		due = age >= crashRecordInterval
	case changes.Minor != r.written.Minor:
		due = age >= minorCrashRecordInterval
	}
	if !due {
		return nil, r.own, false
	}
	r.written, r.wroteAt = changes, now
	value, err := g.encodeCrashRecord(now)
	if err != nil {
		g.log.Error().Err(err).Msg("crashes: encoding the record failed")
	}
	return value, r.own, err == nil && (value != nil || r.own.Version != 0)
}

// encodeCrashRecord encodes as much as the record may hold; nil: nothing is known. The caller holds mu.
func (g *Gateway) encodeCrashRecord(now clock.Time) ([]byte, error) {
	const firstLimit = 128
	limit := 0
	for {
		m := encodeSuspects(g.settings.Name, g.poison.Kept(now, limit))
		if m == nil {
			return nil, nil
		}
		value, err := cbor.Marshal(m)
		if err != nil || len(value) <= maxCrashRecordBytes || limit == 1 {
			return value, err
		}
		if limit == 0 {
			limit = 2 * firstLimit
		}
		limit /= 2
	}
}

func (g *Gateway) writeCrashRecord(value []byte, expect revision.Revision) bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began := boottime.Now()
	result, at := g.store.WriteCrashRecord(ctx, g.settings.Zone, value, expect)
	g.metrics.storeCall("crashes-write", result != leader.Unknown, boottime.Now().Sub(began))
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.crashRecords
	if result == leader.Done {
		r.own, r.wrote = at, at
		return true
	}
	r.stale, r.written = true, poison.Changes{}
	return result == leader.Conflict
}
