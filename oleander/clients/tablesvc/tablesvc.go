// Package tablesvc is the client of the platform's transactional table service,
// which speaks the DynamoDB HTTP protocol.
//
// All rows are in one table with the partition key "kind", the sort key "id",
// the number "version" and the string "body" (the JSON of the typed body).
// Every write is conditional on the version. The client sends each operation
// at most once: a repeat of a conditional write whose answer was lost would
// read as a conflict, though it took effect.
package tablesvc

import (
	"context"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"oleanderdale.org/core/table"
	"oleanderdale.org/oleander/clients/internal/wire"
)

// The limits of one operation.
const (
	// DefaultTimeout ends an operation if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxWrites is the most writes of one transaction.
	MaxWrites = 100
	// MaxBody is the longest row body, in bytes of JSON.
	MaxBodySize = 390 << 10

	maxResponseSize = 20 << 20 // bytes; the protocol itself ends at 16 MiB
	maxBatchKeys    = 100      // keys in one request
	maxPages        = 10_000   // of one scan or batch
)

// Settings says which table to use and how.
type Settings struct {
	// Endpoint is the URL of the service, for instance "http://10.0.0.1:8000".
	Endpoint string
	Region   string
	Table    string
	// AccessKey and SecretKey sign the requests, unless Credentials is set.
	AccessKey   string
	SecretKey   string
	Credentials aws.CredentialsProvider
	// Timeout ends each operation; 0 means DefaultTimeout.
	Timeout time.Duration
	// Observe, if set, is told of each operation when it has ended. It is
	// called on the operation's goroutine and must be safe for concurrent use.
	OnOperationEnd func(Observation)
}

// Observation is what came of one operation.
type Observation struct {
	Op      Op
	Outcome table.Outcome
	Latency time.Duration
	Err     error // *Error, or nil if the outcome is table.Done
}

// Client is safe for concurrent use.
type Client struct {
	db       *dynamodb.Client
	settings Settings
}

// New returns a client. It connects to nothing yet; the error says that a
// setting is missing.
func New(s Settings) (*Client, error) {
	if s.Endpoint == "" || s.Region == "" || s.Table == "" {
		return nil, errors.Wrap(ErrInvalidSettings, "endpoint, region and table are needed")
	}
	if s.Credentials == nil {
		if s.AccessKey == "" || s.SecretKey == "" {
			return nil, errors.Wrap(ErrInvalidSettings, "credentials are needed")
		}
		s.Credentials = credentials.NewStaticCredentialsProvider(s.AccessKey, s.SecretKey, "")
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return &Client{db: newDynamoDB(s), settings: s}, nil
}

func newDynamoDB(s Settings) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		BaseEndpoint:     aws.String(s.Endpoint),
		Region:           s.Region,
		Credentials:      s.Credentials,
		HTTPClient:       wire.NewClient(wire.Options{MaxBodySize: maxResponseSize}),
		Retryer:          aws.NopRetryer{},
		RetryMaxAttempts: 1,
	})
}

// Read reads rows by key, each strongly consistent, in the order of keys.
// Absent rows are left out. The outcome is Done, NotDone or Unknown.
func (c *Client) Read(ctx context.Context, keys []table.Key) ([]table.Row, table.Outcome) {
	o := c.begin(ctx, OpRead)
	defer o.cancel()
	rows, err := c.read(o.ctx, keys)
	if outcome := o.end(err); outcome != table.Done {
		return nil, outcome
	}
	return rows, table.Done
}

func (c *Client) read(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	pending, err := uniqueKeys(keys)
	if err != nil {
		return nil, err
	}
	found := make(map[table.Key]table.Row, len(pending))
	for len(pending) > 0 {
		n := min(len(pending), maxBatchKeys)
		if err := c.readBatch(ctx, pending[:n], found); err != nil {
			return nil, err
		}
		pending = pending[n:]
	}
	rows := make([]table.Row, 0, len(found))
	for _, k := range keys {
		if r, ok := found[k]; ok {
			rows = append(rows, r)
			delete(found, k)
		}
	}
	return rows, nil
}

// readBatch reads at most maxBatchRead keys and asks again for those that the
// service left out of a full answer.
func (c *Client) readBatch(ctx context.Context, keys []table.Key, found map[table.Key]table.Row) error {
	request := &types.KeysAndAttributes{ConsistentRead: aws.Bool(true)}
	for _, k := range keys {
		request.Keys = append(request.Keys, encodeKey(k))
	}
	for range maxPages {
		resp, err := c.db.BatchGetItem(ctx, &dynamodb.BatchGetItemInput{
			RequestItems: map[string]types.KeysAndAttributes{c.settings.Table: *request},
		})
		if err != nil {
			return err
		}
		rows, err := decodeItems(resp.Responses[c.settings.Table])
		if err != nil {
			return err
		}
		for _, r := range rows {
			found[r.Key] = r
		}
		unprocessed, ok := resp.UnprocessedKeys[c.settings.Table]
		if !ok || len(unprocessed.Keys) == 0 {
			return nil
		}
		request.Keys = unprocessed.Keys
	}
	return ErrTooManyPages
}

// Scan reads all rows of a kind whose ID starts with prefix, sorted by ID.
// Each page is strongly consistent; rows written meanwhile may be in it or not.
func (c *Client) Scan(ctx context.Context, kind table.Kind, prefix string) ([]table.Row, table.Outcome) {
	o := c.begin(ctx, OpScan)
	defer o.cancel()
	rows, err := c.scan(o.ctx, kind, prefix)
	if outcome := o.end(err); outcome != table.Done {
		return nil, outcome
	}
	return rows, table.Done
}

func (c *Client) scan(ctx context.Context, kind table.Kind, prefix string) ([]table.Row, error) {
	input := c.query(kind, prefix)
	var rows []table.Row
	for range maxPages {
		resp, err := c.db.Query(ctx, input)
		if err != nil {
			return nil, err
		}
		page, err := decodeItems(resp.Items)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(resp.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		input.ExclusiveStartKey = resp.LastEvaluatedKey
	}
	return nil, ErrTooManyPages
}

// query leaves the prefix out if it is empty: the protocol allows no empty
// value for a key.
func (c *Client) query(kind table.Kind, prefix string) *dynamodb.QueryInput {
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(c.settings.Table),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#kind = :kind"),
		ExpressionAttributeNames:  map[string]string{"#kind": attrKind},
		ExpressionAttributeValues: item{":kind": stringAttr(string(kind))},
	}
	if prefix != "" {
		input.KeyConditionExpression = aws.String("#kind = :kind AND begins_with(#id, :prefix)")
		input.ExpressionAttributeNames["#id"] = attrID
		input.ExpressionAttributeValues[":prefix"] = stringAttr(prefix)
	}
	return input
}

// Commit carries out all writes or none. The outcome is Conflict if a
// condition failed, NotDone if nothing was sent, and Unknown if the writes may
// have taken effect.
func (c *Client) Commit(ctx context.Context, writes []table.Write) table.Outcome {
	o := c.begin(ctx, OpCommit)
	defer o.cancel()
	return o.end(c.commit(o.ctx, writes))
}

func (c *Client) commit(ctx context.Context, writes []table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	items, err := c.encodeWrites(writes)
	if err != nil {
		return err
	}
	_, err = c.db.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return err
}

// operation is one call of the client.
type operation struct {
	ctx     context.Context
	cancel  context.CancelFunc
	tracker *wire.SendTracker
	op      Op
	started time.Time
	observe func(Observation)
}

func (c *Client) begin(ctx context.Context, op Op) *operation {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	ctx, tracker := wire.WithSendTracker(ctx)
	return &operation{
		ctx: ctx, cancel: cancel, tracker: tracker, op: op,
		started: time.Now(), observe: c.settings.OnOperationEnd,
	}
}

func (o *operation) end(err error) table.Outcome {
	out := outcomeOf(err, o.tracker.MayHaveSent())
	if err != nil {
		err = &Error{Op: o.op, Outcome: out, cause: err}
	}
	if o.observe != nil {
		o.observe(Observation{Op: o.op, Outcome: out, Latency: time.Since(o.started), Err: err})
	}
	return out
}
