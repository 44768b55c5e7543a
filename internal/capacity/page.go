package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	pageFile    = "CAPACITY.md"
	resultsDir  = "capacity"
	resultsFile = "results.json"
	filePerm    = 0o644
	dirPerm     = 0o755
)

// WriteResults writes the results and one plot per series to docs/capacity, and
// regenerates the tables of docs/CAPACITY.md between their markers.
func WriteResults(docs string, r *Results) error {
	dir := filepath.Join(docs, resultsDir)
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return err
	}
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultsFile), append(body, '\n'), filePerm); err != nil {
		return err
	}
	for i := range r.Series {
		s := &r.Series[i]
		if err := WritePlot(s, filepath.Join(dir, s.Name+".svg")); err != nil {
			return errors.Wrapf(err, "plot %s", s.Name)
		}
	}
	return regenerate(filepath.Join(docs, pageFile), r)
}

// ReadResults returns the results stored in docs/capacity.
func ReadResults(docs string) (*Results, error) {
	body, err := os.ReadFile(filepath.Join(docs, resultsDir, resultsFile))
	if err != nil {
		return nil, err
	}
	var r Results
	return &r, json.Unmarshal(body, &r)
}

// regenerate replaces the generated tables in the page file.
func regenerate(file string, r *Results) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	out := string(page)
	for _, t := range pageTables {
		if out, err = ReplaceSection(out, t.name, t.render(r)); err != nil {
			return errors.Wrap(err, file)
		}
	}
	return os.WriteFile(file, []byte(out), filePerm)
}

// ReplaceSection returns page with the text between the markers of name
// replaced.
func ReplaceSection(page, name, text string) (string, error) {
	begin, end := fmt.Sprintf("<!-- begin %s -->\n", name), fmt.Sprintf("<!-- end %s -->", name)
	i := strings.Index(page, begin)
	j := strings.Index(page, end)
	if i < 0 || j < i {
		return "", errors.Newf("page has no begin and end markers for %q", name)
	}
	return page[:i+len(begin)] + text + page[j:], nil
}
