// Package clients is the parent of the clients for what the deployment's
// platform and its backend servers offer. Each client has its own typed errors
// and turns those of the library below into them; none repeats a request.
package clients
