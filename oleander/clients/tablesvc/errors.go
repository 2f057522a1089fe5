package tablesvc

import (
	"fmt"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"oleanderdale.org/core/table"
)

// The errors that can be the cause of an Error.
var (
	ErrInvalidSettings = errors.New("table service: bad settings")
	ErrInvalidWrite    = errors.New("table service: write can't be encoded")
	ErrInvalidKey      = errors.New("table service: kind and id must not be empty")
	ErrMalformedRow    = errors.New("table service: row can't be decoded")
	ErrTooManyPages    = errors.New("table service: answer has too many pages")
)

// Op names an operation of the client.
type Op string

// The operations.
const (
	OpRead   Op = "read"
	OpScan   Op = "scan"
	OpCommit Op = "commit"
)

// Error says why an operation was not done.
type Error struct {
	Op      Op
	Outcome table.Outcome
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("table service: %s: %s: %v", e.Op, e.Outcome, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// The reasons for a cancelled transaction that mean another writer was there.
const (
	reasonConditionFailed = "ConditionalCheckFailed"
	reasonConflict        = "TransactionConflict"
)

// outcome says what is known after err. An answer that says the service was
// throttled or failing may come from a part of it that does not know what
// another part did, so it counts as Unknown, never as NotDone.
func outcomeOf(err error, sent bool) table.Outcome {
	if err == nil {
		return table.Done
	}
	if isConflict(err) {
		return table.Conflict
	}
	if !sent {
		return table.NotDone
	}
	return table.Unknown
}

func isConflict(err error) bool {
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return true
	}
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return false
	}
	for _, r := range cancelled.CancellationReasons {
		switch aws.ToString(r.Code) {
		case reasonConditionFailed, reasonConflict:
			return true
		}
	}
	return false
}
