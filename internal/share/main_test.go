package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and size for rapid, so that every run is the same.
// Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "1500", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
