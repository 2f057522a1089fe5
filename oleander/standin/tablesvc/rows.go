package tablesvc

import (
	"slices"
	"strings"
	"time"
)

const (
	attrKind = "kind"
	attrID   = "id"

	// maxTransactionItems and maxBatchKeys are limits of the protocol.
	maxTransactionItems = 100
	maxBatchKeys        = 100
	// maxRowVersions is the number of versions of a row that are kept for
	// eventually consistent reads.
	maxRowVersions = 16
)

// rowKey is the primary key of a row: its kind (partition key) and its ID (sort key).
type rowKey struct{ kind, id string }

// keyOf returns the key of a row.
func keyOf(it item) (rowKey, *serviceError) {
	kind, id := it[attrKind].S, it[attrID].S
	if kind == nil || id == nil || *kind == "" || *id == "" {
		return rowKey{}, validationError("key is missing or empty")
	}
	return rowKey{kind: *kind, id: *id}, nil
}

func (k rowKey) item() item { return item{attrKind: {S: &k.kind}, attrID: {S: &k.id}} }

// validationError returns an error for a request that the protocol does not allow.
func validationError(message string) *serviceError {
	return &serviceError{kind: errValidation, message: message}
}

// history holds the last versions of a row, oldest first.
type history struct {
	versions  []rowVersion
	truncated bool // older versions were discarded
}

type rowVersion struct {
	writtenAt time.Time
	item      item // nil if the row is absent
}

// asOf returns the row as it was at t, or nil if it was absent. If that version was
// discarded, it returns the oldest one.
func (h *history) asOf(t time.Time) item {
	for _, s := range slices.Backward(h.versions) {
		if !s.writtenAt.After(t) {
			return s.item
		}
	}
	if h.truncated {
		return h.versions[0].item
	}
	return nil
}

func (t *Table) setRow(k rowKey, it item) {
	h := t.rows[k]
	if h == nil {
		h = new(history)
		t.rows[k] = h
	}
	if len(h.versions) == maxRowVersions {
		h.versions = slices.Delete(h.versions, 0, 1)
		h.truncated = true
	}
	h.versions = append(h.versions, rowVersion{writtenAt: time.Now(), item: it})
}

func (t *Table) getRow(k rowKey, at time.Time) item {
	if h := t.rows[k]; h != nil {
		return h.asOf(at)
	}
	return nil
}

// readTime returns the time whose state a read returns.
func (t *Table) readTime(consistent bool) time.Time {
	now := time.Now()
	if consistent {
		return now
	}
	t.counts.EventualReads++
	return now.Add(-t.faults.Get().StaleReadLag)
}

func (t *Table) batchGet(in batchGetInput) (batchGetOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := batchGetOutput{Responses: map[string][]item{}, UnprocessedKeys: map[string]keysAndAttributes{}}
	for name, request := range in.RequestItems {
		if len(request.Keys) == 0 || len(request.Keys) > maxBatchKeys {
			return out, validationError("between 1 and 100 keys are required")
		}
		found, unprocessed, svcErr := t.getKeys(request)
		if svcErr != nil {
			return out, svcErr
		}
		out.Responses[name] = found
		if len(unprocessed) > 0 {
			out.UnprocessedKeys[name] = keysAndAttributes{Keys: unprocessed, ConsistentRead: request.ConsistentRead}
		}
	}
	return out, nil
}

// getKeys returns the rows with the requested keys, and the keys that it did not
// process.
func (t *Table) getKeys(request keysAndAttributes) (found, unprocessed []item, svcErr *serviceError) {
	keys := request.Keys
	if n := t.faults.Get().MaxPageRows; n > 0 && len(keys) > n {
		keys, unprocessed = keys[:n], keys[n:]
	}
	if svcErr := t.throttle(&t.readTokens, len(keys)); svcErr != nil {
		return nil, nil, svcErr
	}
	at := t.readTime(request.ConsistentRead)
	seen := make(map[rowKey]struct{}, len(keys))
	found = []item{}
	for _, it := range keys {
		k, svcErr := keyOf(it)
		if svcErr != nil {
			return nil, nil, svcErr
		}
		if _, ok := seen[k]; ok {
			return nil, nil, validationError("provided list of item keys contains duplicates")
		}
		seen[k] = struct{}{}
		t.counts.RowReads++
		if row := t.getRow(k, at); row != nil {
			found = append(found, row)
		}
	}
	return found, unprocessed, nil
}

func (t *Table) query(in queryInput) (queryOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind, prefix, svcErr := keyCondition(in)
	if svcErr != nil {
		return queryOutput{}, svcErr
	}
	after := ""
	if len(in.ExclusiveStartKey) > 0 {
		k, svcErr := keyOf(in.ExclusiveStartKey)
		if svcErr != nil {
			return queryOutput{}, svcErr
		}
		after = k.id
	}
	out := t.queryPage(kind, prefix, after, t.readTime(in.ConsistentRead))
	return out, t.throttle(&t.readTokens, max(1, out.Count))
}

// queryPage returns the next page of the rows whose ID is greater than after.
func (t *Table) queryPage(kind, prefix, after string, at time.Time) queryOutput {
	limit := t.faults.Get().MaxPageRows
	out := queryOutput{Items: []item{}}
	t.counts.Queries++
	for _, k := range t.sortedKeys(kind, prefix) {
		row := t.getRow(k, at)
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

// sortedKeys returns the keys of a kind whose ID has the prefix, sorted by ID.
func (t *Table) sortedKeys(kind, prefix string) []rowKey {
	var keys []rowKey
	for k := range t.rows {
		if k.kind == kind && strings.HasPrefix(k.id, prefix) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b rowKey) int { return strings.Compare(a.id, b.id) })
	return keys
}

// transactWrite checks all conditions and then executes all writes.
func (t *Table) transactWrite(in transactWriteInput) (transactWriteOutput, *serviceError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return transactWriteOutput{}, validationError("between 1 and 100 writes are required")
	}
	writes, svcErr := parseWrites(in.TransactItems)
	if svcErr != nil {
		return transactWriteOutput{}, svcErr
	}
	if svcErr := t.throttle(&t.writeTokens, len(writes)); svcErr != nil {
		return transactWriteOutput{}, svcErr
	}
	if svcErr := t.checkConditions(writes); svcErr != nil {
		return transactWriteOutput{}, svcErr
	}
	for _, w := range writes {
		if w.checkOnly {
			continue
		}
		t.setRow(w.key, w.item)
		t.counts.Writes++
	}
	t.counts.Transactions++
	return transactWriteOutput{}, nil
}

// checkConditions returns an error that cancels the transaction if a condition is
// false.
func (t *Table) checkConditions(writes []write) *serviceError {
	reasons := make([]reason, len(writes))
	failed := false
	for i, w := range writes {
		ok, svcErr := evaluateCondition(w.condition, t.getRow(w.key, time.Now()))
		if svcErr != nil {
			return svcErr
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

// write is one parsed operation of a transaction.
type write struct {
	key       rowKey
	item      item // nil to delete the row
	checkOnly bool
	condition *transactOperation
}

func parseWrites(items []transactItem) ([]write, *serviceError) {
	seen := make(map[rowKey]struct{}, len(items))
	writes := make([]write, 0, len(items))
	for _, it := range items {
		w, svcErr := parseWrite(it)
		if svcErr != nil {
			return nil, svcErr
		}
		if _, ok := seen[w.key]; ok {
			return nil, validationError("transaction request cannot include multiple operations on one item")
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
		w.condition, w.checkOnly, key = it.ConditionCheck, true, it.ConditionCheck.Key
	default:
		return w, validationError("write without an operation")
	}
	var svcErr *serviceError
	w.key, svcErr = keyOf(key)
	return w, svcErr
}
