package tablesvc

import (
	"regexp"
)

// The expressions that the client uses; no others are supported.
var (
	absentCondition = regexp.MustCompile(`^attribute_not_exists\((#\w+)\)$`)
	equalCondition  = regexp.MustCompile(`^(#\w+) = (:\w+)$`)
	prefixCondition = regexp.MustCompile(`^(#\w+) = (:\w+) AND begins_with\((#\w+), (:\w+)\)$`)
)

// evaluateCondition reports whether the condition of c is true for row, which is
// nil if absent.
func evaluateCondition(c *transactOperation, row item) (bool, *serviceError) {
	if c.ConditionExpression == "" {
		return true, nil
	}
	if m := absentCondition.FindStringSubmatch(c.ConditionExpression); m != nil {
		_, exists := row[c.ExpressionAttributeNames[m[1]]]
		return !exists, nil
	}
	m := equalCondition.FindStringSubmatch(c.ConditionExpression)
	if m == nil {
		return false, validationError("condition expression is not supported by the stand-in")
	}
	value, exists := row[c.ExpressionAttributeNames[m[1]]]
	return exists && value.equal(c.ExpressionAttributeValues[m[2]]), nil
}

// keyCondition returns the kind of the rows that a Query asks for, and the prefix
// of their IDs.
func keyCondition(in queryInput) (kind, prefix string, svcErr *serviceError) {
	names, values := in.ExpressionAttributeNames, in.ExpressionAttributeValues
	m := equalCondition.FindStringSubmatch(in.KeyConditionExpression)
	if m == nil {
		m = prefixCondition.FindStringSubmatch(in.KeyConditionExpression)
	}
	if m == nil || names[m[1]] != attrKind || values[m[2]].S == nil {
		return "", "", validationError("key condition is not supported by the stand-in")
	}
	kind = *values[m[2]].S
	if len(m) == 3 {
		return kind, "", nil
	}
	p := values[m[4]].S
	if names[m[3]] != attrID || p == nil || *p == "" {
		return "", "", validationError("prefix is empty or not a condition on the ID")
	}
	return kind, *p, nil
}
