package fleettest

import (
	"flag"
	"strconv"
)

// SetRapidDefaults sets a fixed seed and the number of checks for package rapid,
// unless its flags are given on the command line. Call it from TestMain.
func SetRapidDefaults(checks int) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", strconv.Itoa(checks))
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}
