// Package proving contains the tests of the whole system: tests with separate
// processes, randomised simulations and measurements of workloads.
package proving
