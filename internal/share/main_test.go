package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same verdict. A seed on
// the command line goes first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "1500", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
