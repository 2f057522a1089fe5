// Package clients holds the clients for the services of the platform and for the
// control interface of backend servers. Each client converts the errors of its
// libraries into typed errors of its own. No client retries a request.
package clients
