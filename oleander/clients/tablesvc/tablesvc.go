// Package tablesvc is the client for the platform's transactional table service,
// which speaks the DynamoDB HTTP protocol.
//
// All rows are in one table with the partition key "kind", the sort key "id", the
// number "version" and the string "body" (the JSON of the typed body). Every write
// is conditional on the version. The client does not retry requests: a conditional
// write that took effect but whose response was lost would fail with a conflict
// when sent again.
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

// Limits of one operation.
const (
	// DefaultTimeout is the timeout of an operation if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxWrites is the maximum number of writes in one transaction.
	MaxWrites = 100
	// MaxBodySize is the maximum size of a row's body, in bytes of JSON.
	MaxBodySize = 390 << 10

	maxResponseSize = 20 << 20 // bytes; the protocol limits responses to 16 MiB
	maxBatchKeys    = 100      // keys per request
	maxPages        = 10_000   // pages per scan or batch of keys
)

// Settings configures a Client.
type Settings struct {
	// Endpoint is the URL of the service, for example "http://10.0.0.1:8000".
	Endpoint string
	Region   string
	Table    string
	// AccessKey and SecretKey sign the requests if Credentials is nil.
	AccessKey   string
	SecretKey   string
	Credentials aws.CredentialsProvider
	// Timeout is the timeout of each operation; 0 means DefaultTimeout.
	Timeout time.Duration
	// OnOperationEnd, if set, is called at the end of each operation, on the
	// goroutine of the operation. It must be safe for concurrent use.
	OnOperationEnd func(Observation)
}

// Observation describes one finished operation.
type Observation struct {
	Op      Op
	Outcome table.Outcome
	Latency time.Duration
	Err     error // *Error, or nil if the outcome is table.Done
}

// Client reads and writes rows. It is safe for concurrent use.
type Client struct {
	db       *dynamodb.Client
	settings Settings
}

// New returns a client without connecting to the service. The error wraps
// ErrInvalidSettings.
func New(s Settings) (*Client, error) {
	if s.Endpoint == "" || s.Region == "" || s.Table == "" {
		return nil, errors.Wrap(ErrInvalidSettings, "endpoint, region and table are required")
	}
	if s.Credentials == nil {
		if s.AccessKey == "" || s.SecretKey == "" {
			return nil, errors.Wrap(ErrInvalidSettings, "credentials are required")
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

// Read reads rows by key, with strong consistency, and returns them in the order of
// keys. Rows that do not exist are left out. The outcome is Done, NotExecuted or
// Unknown.
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

// readBatch reads at most maxBatchKeys keys into found. Keys that the service left
// out because the response was full are requested again.
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

// Scan reads all rows of a kind whose ID starts with prefix, sorted by ID. Each page
// is read with strong consistency; rows that are written during the scan may or may
// not be included.
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

// query returns the query for a scan. It omits the condition on an empty prefix,
// because the protocol does not allow empty key values.
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

// Commit executes all writes in one transaction or none of them. The outcome is
// Conflict if a condition failed, NotExecuted if nothing was sent, and Unknown if the
// writes may have taken effect.
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

// operation is one call of Read, Scan or Commit.
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

// end returns the outcome of the operation and reports it to the observer.
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
