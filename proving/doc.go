// Package proving proves the system from outside: separate processes,
// randomised runs and workload measurements.
package proving
