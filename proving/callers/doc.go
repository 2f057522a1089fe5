// Package callers tests the callers' HTTP interface of a deployment started as by
// `oleander dev`: with an unmodified, published OpenAI client library and with
// invalid calls.
package callers
