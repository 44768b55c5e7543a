package bundle

import (
	"path/filepath"
	"testing"
)

// TestExamples checks that the first bundles of the example deployments are valid
// and name enough reviewers to sign off the next bundle.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"dosanko", "cymru"} {
		t.Run(deployment, func(t *testing.T) {
			b, err := LoadInitial(filepath.Join("../../examples", deployment, "bundle.json"))
			if err != nil {
				t.Fatal(err)
			}
			if b.RequiredSignOffs != 2 || len(b.Reviewers) < 3 || len(b.Services) == 0 || len(b.Organisations) == 0 {
				t.Errorf("%+v", b)
			}
		})
	}
}
