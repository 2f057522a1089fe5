// Command cases plays one case of the review: a small deployment of the system's processes with
// stand-ins of the store, workers and clients on loopback addresses.
//
//	cases NAME FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// disrupted reports whether the case brings its disruption about; TROUBLE=0 leaves it out.
func disrupted() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by name; each registers itself.
var cases = make(map[string]func(folder string))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
