package tablesvc

import (
	"encoding/json"
	"net/http"
)

// Errors of the protocol.
const (
	errConditional      = "ConditionalCheckFailed"
	errCancelled        = "TransactionCanceledException"
	errValidation       = "ValidationException"
	errSerialization    = "SerializationException"
	errThrottled        = "ProvisionedThroughputExceededException"
	errInternal         = "InternalServerError"
	errUnknownOperation = "UnknownOperationException"

	errNamespace = "com.amazonaws.dynamodb.v20120810#"
	noReason     = "None"
)

// serviceError is an error response.
type serviceError struct {
	kind    string
	message string
	status  int // 0 means 400
	reasons []reason
}

// reason says why one write of a canceled transaction failed; its code is noReason
// for a write that did not.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

type errorBody struct {
	Type                string `json:"__type"`
	Message             string
	CancellationReasons []reason `json:",omitempty"`
}

// writeResponse writes result, or svcErr if it is not nil.
func writeResponse(w http.ResponseWriter, result any, svcErr *serviceError) {
	status := http.StatusOK
	if svcErr != nil {
		status = http.StatusBadRequest
		if svcErr.status != 0 {
			status = svcErr.status
		}
		result = errorBody{Type: errNamespace + svcErr.kind, Message: svcErr.message, CancellationReasons: svcErr.reasons}
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A write error only means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(result)
}

// attributeValue is a string S or a number N.
type attributeValue struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
}

func (a attributeValue) equal(b attributeValue) bool {
	return equalStrings(a.S, b.S) && equalStrings(a.N, b.N)
}

func equalStrings(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// item is a row, or its key, by the names of the attributes.
type item map[string]attributeValue

type batchGetInput struct {
	RequestItems map[string]keysAndAttributes
}

type keysAndAttributes struct {
	Keys           []item
	ConsistentRead bool `json:",omitempty"`
}

type batchGetOutput struct {
	Responses       map[string][]item
	UnprocessedKeys map[string]keysAndAttributes
}

type queryInput struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
}

type queryOutput struct {
	Items            []item
	Count            int
	ScannedCount     int
	LastEvaluatedKey item `json:",omitempty"`
}

type transactWriteInput struct {
	TransactItems []transactItem
}

// transactItem is one operation of a transaction; exactly one field is set.
type transactItem struct {
	Put            *transactOperation
	Delete         *transactOperation
	ConditionCheck *transactOperation
}

// transactOperation is a write or a check with its condition. Put has Item, the
// others have Key.
type transactOperation struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

type transactWriteOutput struct{}
