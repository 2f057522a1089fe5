// Package callers tries the callers' interface as callers use it: with a
// published OpenAI client library, unmodified, and with calls that are wrong in
// every way that came to mind, against the deployment of `oleander dev`.
package callers
