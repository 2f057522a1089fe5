package tablesvc

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"oleanderdale.org/core/table"
)

// Names of the attributes of a row.
const (
	attrKind    = "kind"
	attrID      = "id"
	attrVersion = "version"
	attrBody    = "body"
)

type item = map[string]types.AttributeValue

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeKey(k table.Key) item {
	return item{attrKind: stringAttr(string(k.Kind)), attrID: stringAttr(k.ID)}
}

// uniqueKeys returns keys without duplicates, which the service rejects. The error
// is ErrInvalidKey.
func uniqueKeys(keys []table.Key) ([]table.Key, error) {
	seen := make(map[table.Key]struct{}, len(keys))
	out := make([]table.Key, 0, len(keys))
	for _, k := range keys {
		if k.Kind == "" || k.ID == "" {
			return nil, ErrInvalidKey
		}
		if _, ok := seen[k]; ok {
			continue
		}
		seen[k] = struct{}{}
		out = append(out, k)
	}
	return out, nil
}

// encodeWrites encodes the writes of one transaction. The error wraps
// ErrInvalidWrite or ErrInvalidKey.
func (c *Client) encodeWrites(writes []table.Write) ([]types.TransactWriteItem, error) {
	if len(writes) > MaxWrites {
		return nil, errors.Wrapf(ErrInvalidWrite, "%d writes exceed the maximum of %d", len(writes), MaxWrites)
	}
	items := make([]types.TransactWriteItem, 0, len(writes))
	seen := make(map[table.Key]struct{}, len(writes))
	for _, w := range writes {
		if _, ok := seen[w.Key]; ok {
			return nil, errors.Wrapf(ErrInvalidWrite, "more than one write of a row of kind %q", w.Key.Kind)
		}
		seen[w.Key] = struct{}{}
		it, err := c.encodeWrite(w)
		if err != nil {
			return nil, err
		}
		items = append(items, it)
	}
	return items, nil
}

func (c *Client) encodeWrite(w table.Write) (types.TransactWriteItem, error) {
	if w.Key.Kind == "" || w.Key.ID == "" {
		return types.TransactWriteItem{}, ErrInvalidKey
	}
	name := aws.String(c.settings.Table)
	expr, names, values := versionCondition(w.Expect)
	switch {
	case w.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: name, Key: encodeKey(w.Key), ConditionExpression: expr,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: name, Key: encodeKey(w.Key), ConditionExpression: expr,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	}
	it, err := encodeRow(w)
	if err != nil {
		return types.TransactWriteItem{}, err
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: name, Item: it, ConditionExpression: expr,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}, nil
}

// versionCondition returns the condition that the row has version expect, or does
// not exist if expect is 0.
func versionCondition(expect uint64) (expr *string, names map[string]string, values item) {
	if expect == 0 {
		return aws.String("attribute_not_exists(#kind)"), map[string]string{"#kind": attrKind}, nil
	}
	return aws.String("#version = :expect"),
		map[string]string{"#version": attrVersion},
		item{":expect": numberAttr(expect)}
}

// encodeRow encodes the new row of a write. Its version is Expect + 1.
func encodeRow(w table.Write) (item, error) {
	if w.Body == nil || table.KindOf(w.Body) != w.Key.Kind {
		return nil, errors.Wrapf(ErrInvalidWrite, "body is missing or not of kind %q", w.Key.Kind)
	}
	body, err := json.Marshal(w.Body)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidWrite, err.Error())
	}
	if len(body) > MaxBodySize {
		return nil, errors.Wrapf(ErrInvalidWrite, "body of %d bytes exceeds the maximum of %d", len(body), MaxBodySize)
	}
	it := encodeKey(w.Key)
	it[attrVersion] = numberAttr(w.Expect + 1)
	it[attrBody] = stringAttr(string(body))
	return it, nil
}

func decodeItems(items []item) ([]table.Row, error) {
	rows := make([]table.Row, 0, len(items))
	for _, it := range items {
		r, err := decodeItem(it)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func decodeItem(it item) (table.Row, error) {
	kind, okKind := it[attrKind].(*types.AttributeValueMemberS)
	id, okID := it[attrID].(*types.AttributeValueMemberS)
	version, okVersion := it[attrVersion].(*types.AttributeValueMemberN)
	body, okBody := it[attrBody].(*types.AttributeValueMemberS)
	if !okKind || !okID || !okVersion || !okBody {
		return table.Row{}, errors.Wrap(ErrMalformedRow, "attribute is missing or has the wrong type")
	}
	r := table.Row{Key: table.Key{Kind: table.Kind(kind.Value), ID: id.Value}}
	var err error
	if r.Version, err = strconv.ParseUint(version.Value, 10, 64); err != nil || r.Version == 0 {
		return table.Row{}, errors.Wrapf(ErrMalformedRow, "%s: invalid version %q", kind.Value, version.Value)
	}
	if len(body.Value) > MaxBodySize {
		return table.Row{}, errors.Wrapf(ErrMalformedRow, "%s: body of %d bytes is too large", kind.Value, len(body.Value))
	}
	r.Body, err = decodeBody(r.Key.Kind, []byte(body.Value))
	return r, err
}

func decodeBody(kind table.Kind, b []byte) (table.Body, error) {
	switch kind {
	case table.KindSession:
		return decodeAs[table.Session](b)
	case table.KindSlot:
		return decodeAs[table.Slot](b)
	case table.KindBackend:
		return decodeAs[table.Backend](b)
	case table.KindReplica:
		return decodeAs[table.Replica](b)
	case table.KindHead:
		return decodeAs[table.Head](b)
	case table.KindVersion:
		return decodeAs[table.Version](b)
	case table.KindOnce:
		return decodeAs[table.Once](b)
	}
	return nil, errors.Wrapf(ErrMalformedRow, "unknown kind %q", kind)
}

// decodeAs decodes a JSON body. It rejects unknown fields and data after the JSON
// value. It leaves out the decoder's error, which can quote the contents of the row.
func decodeAs[T table.Body](b []byte) (table.Body, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if d.Decode(&v) != nil {
		return nil, errors.Wrapf(ErrMalformedRow, "%s: invalid body", table.KindOf(v))
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.Wrapf(ErrMalformedRow, "%s: data after the body", table.KindOf(v))
	}
	return v, nil
}
