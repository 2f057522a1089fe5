// Package oleander is the program around the core: its binaries are under cmd.
package oleander
