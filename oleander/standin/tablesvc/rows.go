package tablesvc

import (
	"slices"
	"strings"
	"time"
)

const (
	attrKind = "kind"
	attrID   = "id"

	// maxTransaction and maxBatch are the protocol's limits.
	maxTransaction = 100
	maxBatch       = 100
	// maxHistory is how many writes of a row are kept for stale reads.
	maxHistory = 16
)

type rowKey struct{ kind, id string }

func keyOf(it item) (rowKey, *serviceError) {
	kind, id := it[attrKind].S, it[attrID].S
	if kind == nil || id == nil || *kind == "" || *id == "" {
		return rowKey{}, invalid("key is missing or empty")
	}
	return rowKey{kind: *kind, id: *id}, nil
}

func (k rowKey) item() item { return item{attrKind: {S: &k.kind}, attrID: {S: &k.id}} }

func invalid(message string) *serviceError {
	return &serviceError{kind: errValidation, message: message}
}

// history holds the last writes of a row, the oldest first.
type history struct {
	states  []state
	shorter bool // older writes were forgotten
}

type state struct {
	at   time.Time
	item item // nil: absent
}

// asOf returns the row as it was at t, nil if absent.
func (h *history) asOf(t time.Time) item {
	for _, s := range slices.Backward(h.states) {
		if !s.at.After(t) {
			return s.item
		}
	}
	if h.shorter {
		return h.states[0].item
	}
	return nil
}

func (t *Table) set(k rowKey, it item) {
	h := t.rows[k]
	if h == nil {
		h = new(history)
		t.rows[k] = h
	}
	if len(h.states) == maxHistory {
		h.states = slices.Delete(h.states, 0, 1)
		h.shorter = true
	}
	h.states = append(h.states, state{at: time.Now(), item: it})
}

func (t *Table) get(k rowKey, at time.Time) item {
	if h := t.rows[k]; h != nil {
		return h.asOf(at)
	}
	return nil
}

// readTime returns the moment that a read shows.
func (t *Table) readTime(consistent bool) time.Time {
	now := time.Now()
	if consistent {
		return now
	}
	t.counts.EventualReads++
	return now.Add(-t.knobs.Get().StaleReadLag)
}

func (t *Table) batchGet(in batchGetInput) (batchGetOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := batchGetOutput{Responses: map[string][]item{}, UnprocessedKeys: map[string]keysAndAttributes{}}
	for name, ask := range in.RequestItems {
		if len(ask.Keys) == 0 || len(ask.Keys) > maxBatch {
			return out, invalid("between 1 and 100 keys are needed")
		}
		found, left, fail := t.getKeys(ask)
		if fail != nil {
			return out, fail
		}
		out.Responses[name] = found
		if len(left) > 0 {
			out.UnprocessedKeys[name] = keysAndAttributes{Keys: left, ConsistentRead: ask.ConsistentRead}
		}
	}
	return out, nil
}

func (t *Table) getKeys(ask keysAndAttributes) (found, left []item, fail *serviceError) {
	keys := ask.Keys
	if n := t.knobs.Get().MaxPageRows; n > 0 && len(keys) > n {
		keys, left = keys[:n], keys[n:]
	}
	if fail := t.throttle(&t.reads, len(keys)); fail != nil {
		return nil, nil, fail
	}
	at := t.readTime(ask.ConsistentRead)
	seen := make(map[rowKey]struct{}, len(keys))
	found = []item{}
	for _, it := range keys {
		k, fail := keyOf(it)
		if fail != nil {
			return nil, nil, fail
		}
		if _, ok := seen[k]; ok {
			return nil, nil, invalid("provided list of item keys contains duplicates")
		}
		seen[k] = struct{}{}
		t.counts.RowReads++
		if row := t.get(k, at); row != nil {
			found = append(found, row)
		}
	}
	return found, left, nil
}

func (t *Table) query(in queryInput) (queryOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind, prefix, fail := keyCondition(in)
	if fail != nil {
		return queryOutput{}, fail
	}
	after := ""
	if len(in.ExclusiveStartKey) > 0 {
		k, fail := keyOf(in.ExclusiveStartKey)
		if fail != nil {
			return queryOutput{}, fail
		}
		after = k.id
	}
	out := t.page(kind, prefix, after, t.readTime(in.ConsistentRead))
	return out, t.throttle(&t.reads, max(1, out.Count))
}

// page returns the rows after the ID after, up to a page.
func (t *Table) page(kind, prefix, after string, at time.Time) queryOutput {
	limit := t.knobs.Get().MaxPageRows
	out := queryOutput{Items: []item{}}
	t.counts.Queries++
	for _, k := range t.keysOf(kind, prefix) {
		row := t.get(k, at)
		if k.id <= after || row == nil {
			continue
		}
		if limit > 0 && len(out.Items) == limit {
			last, _ := keyOf(out.Items[limit-1])
			out.LastEvaluatedKey = last.item()
			break
		}
		out.Items = append(out.Items, row)
	}
	out.Count = len(out.Items)
	out.ScannedCount = out.Count
	t.counts.QueriedRows += uint64(out.Count)
	return out
}

func (t *Table) keysOf(kind, prefix string) []rowKey {
	var keys []rowKey
	for k := range t.rows {
		if k.kind == kind && strings.HasPrefix(k.id, prefix) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b rowKey) int { return strings.Compare(a.id, b.id) })
	return keys
}

// transactWrite checks all conditions, then carries out all writes.
func (t *Table) transactWrite(in transactWriteInput) (transactWriteOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransaction {
		return transactWriteOutput{}, invalid("between 1 and 100 writes are needed")
	}
	writes, fail := parseWrites(in.TransactItems)
	if fail != nil {
		return transactWriteOutput{}, fail
	}
	if fail := t.throttle(&t.writes, len(writes)); fail != nil {
		return transactWriteOutput{}, fail
	}
	if fail := t.checkAll(writes); fail != nil {
		return transactWriteOutput{}, fail
	}
	for _, w := range writes {
		if w.check {
			continue
		}
		t.set(w.key, w.item)
		t.counts.Writes++
	}
	t.counts.Transactions++
	return transactWriteOutput{}, nil
}

func (t *Table) checkAll(writes []write) *serviceError {
	reasons := make([]reason, len(writes))
	failed := false
	for i, w := range writes {
		ok, fail := holds(w.condition, t.get(w.key, time.Now()))
		if fail != nil {
			return fail
		}
		reasons[i] = reason{Code: noReason}
		if !ok {
			failed = true
			reasons[i] = reason{Code: errConditional, Message: "The conditional request failed"}
		}
	}
	if !failed {
		return nil
	}
	t.counts.Conflicts++
	return &serviceError{kind: errCancelled, message: "Transaction cancelled", reasons: reasons}
}

// write is one parsed write of a transaction.
type write struct {
	key       rowKey
	item      item // nil: delete
	check     bool
	condition *conditional
}

func parseWrites(items []transactItem) ([]write, *serviceError) {
	seen := make(map[rowKey]struct{}, len(items))
	writes := make([]write, 0, len(items))
	for _, it := range items {
		w, fail := parseWrite(it)
		if fail != nil {
			return nil, fail
		}
		if _, ok := seen[w.key]; ok {
			return nil, invalid("transaction request cannot include multiple operations on one item")
		}
		seen[w.key] = struct{}{}
		writes = append(writes, w)
	}
	return writes, nil
}

func parseWrite(it transactItem) (write, *serviceError) {
	var w write
	var key item
	switch {
	case it.Put != nil:
		w.condition, w.item, key = it.Put, it.Put.Item, it.Put.Item
	case it.Delete != nil:
		w.condition, key = it.Delete, it.Delete.Key
	case it.ConditionCheck != nil:
		w.condition, w.check, key = it.ConditionCheck, true, it.ConditionCheck.Key
	default:
		return w, invalid("write without an operation")
	}
	var fail *serviceError
	w.key, fail = keyOf(key)
	return w, fail
}
