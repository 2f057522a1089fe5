package tablesvc

import (
	"fmt"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"oleanderdale.org/core/table"
)

// Errors that an Error can wrap.
var (
	ErrInvalidSettings = errors.New("table service: invalid settings")
	ErrInvalidWrite    = errors.New("table service: invalid write")
	ErrInvalidKey      = errors.New("table service: kind or ID of a row key is empty")
	ErrMalformedRow    = errors.New("table service: malformed row")
	ErrTooManyPages    = errors.New("table service: response has too many pages")
)

// Op is the type of an operation.
type Op string

// Types of operations.
const (
	OpRead   Op = "read"
	OpScan   Op = "scan"
	OpCommit Op = "commit"
)

// Error is the error of an operation whose outcome is not table.Done.
type Error struct {
	Op      Op
	Outcome table.Outcome
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("table service: %s: %s: %v", e.Op, e.Outcome, e.cause)
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.cause }

// Reasons for a cancelled transaction that mean that another writer came first.
const (
	reasonConditionFailed = "ConditionalCheckFailed"
	reasonConflict        = "TransactionConflict"
)

// outcomeOf returns the outcome of an operation that ended with err; sent tells
// whether any part of the request may have been sent. A response that reports
// throttling or an internal error may come from a component of the service that
// does not know whether another component executed the request. Its outcome is
// therefore Unknown, never NotExecuted.
func outcomeOf(err error, sent bool) table.Outcome {
	if err == nil {
		return table.Done
	}
	if isConflict(err) {
		return table.Conflict
	}
	if !sent {
		return table.NotExecuted
	}
	return table.Unknown
}

// isConflict reports whether err means that the condition of a write failed or that
// the transaction conflicted with another one.
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
