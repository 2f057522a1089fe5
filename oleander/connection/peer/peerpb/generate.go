// Package peerpb holds the generated code of the protocol between instances.
// The generated files are committed; building needs no generator. To
// regenerate them after a change of peer.proto, with protoc on the PATH:
//
//	make generate
package peerpb
