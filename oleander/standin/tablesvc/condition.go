package tablesvc

import (
	"regexp"
)

// The expressions that the client uses; no others are understood.
var (
	absentCondition = regexp.MustCompile(`^attribute_not_exists\((#\w+)\)$`)
	equalCondition  = regexp.MustCompile(`^(#\w+) = (:\w+)$`)
	prefixCondition = regexp.MustCompile(`^(#\w+) = (:\w+) AND begins_with\((#\w+), (:\w+)\)$`)
)

// holds reports whether the condition of c is true of row, nil if absent.
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
		return false, validationError("condition expression is not part of this stand-in")
	}
	value, exists := row[c.ExpressionAttributeNames[m[1]]]
	return exists && value.equal(c.ExpressionAttributeValues[m[2]]), nil
}

// keyCondition returns what a Query asks for.
func keyCondition(in queryInput) (kind, prefix string, svcErr *serviceError) {
	names, values := in.ExpressionAttributeNames, in.ExpressionAttributeValues
	m := equalCondition.FindStringSubmatch(in.KeyConditionExpression)
	if m == nil {
		m = prefixCondition.FindStringSubmatch(in.KeyConditionExpression)
	}
	if m == nil || names[m[1]] != attrKind || values[m[2]].S == nil {
		return "", "", validationError("key condition is not part of this stand-in")
	}
	kind = *values[m[2]].S
	if len(m) == 3 {
		return kind, "", nil
	}
	p := values[m[4]].S
	if names[m[3]] != attrID || p == nil || *p == "" {
		return "", "", validationError("empty or misplaced prefix")
	}
	return kind, *p, nil
}
