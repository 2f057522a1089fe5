package fleettest

import (
	"flag"
	"strconv"
)

// SetRapidDefaults has rapid run the same checks each time, unless its flags on the
// command line say otherwise. Call it from TestMain.
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
