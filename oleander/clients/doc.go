// Package clients is the parent of the clients of the platform's services and of
// the backend servers. Each client converts the errors of the library it uses
// into typed errors of its own; none retries a request.
package clients
