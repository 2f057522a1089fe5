// Package oleander is the root of the program: the transports, clients and
// processes that run the core's logic. The binaries are under cmd.
package oleander
