package settings

import (
	"os"
	"path/filepath"
	"slices"

	"skylarkport/internal/result"
	"skylarkport/internal/strict"
)

// maxBytes bounds a settings file.
const maxBytes = 1 << 20

// LoadEntry reads and checks the settings of skylark-entry. The error joins
// every Fault of the file.
func LoadEntry(file string) (*Entry, error) {
	return load(file, func(s *Entry, c *checker) {
		s.resolve(filepath.Dir(file))
		checkEntry(s, c)
	})
}

// LoadScheduler reads and checks the settings of skylark-scheduler. The error
// joins every Fault of the file.
func LoadScheduler(file string) (*Scheduler, error) {
	return load(file, func(s *Scheduler, c *checker) {
		s.resolve(filepath.Dir(file))
		checkScheduler(s, c)
	})
}

// load decodes file into a T and runs check on it. A field that could not be
// decoded is reported once: check's faults of it are dropped.
func load[T any](file string, check func(*T, *checker)) (*T, error) {
	c := &checker{file: file}
	data, err := read(file)
	if err != nil {
		c.add(result.SettingsUnreadable, "", "a readable file: %v", err)
		return nil, c.err()
	}
	return parse(data, c, check)
}

func parse[T any](data []byte, c *checker, check func(*T, *checker)) (*T, error) {
	s := new(T)
	faults := strict.Decode(data, s, strict.Options{RequireAll: true})
	for _, f := range faults {
		c.add(codeOf[f.Kind], f.Path, "%s", f.Want)
	}
	if !slices.ContainsFunc(faults, wholeFile) {
		check(s, c)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// wholeFile reports whether f leaves no field to check.
func wholeFile(f strict.Fault) bool { return f.Path == "" && f.Kind != strict.Trailing }

func read(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, result.Errorf(result.SettingsRange, "%d bytes, at most %d", info.Size(), maxBytes)
	}
	return os.ReadFile(file)
}

var codeOf = map[strict.Kind]result.Code{
	strict.Syntax:   result.SettingsSyntax,
	strict.Trailing: result.SettingsTrailing,
	strict.Unknown:  result.SettingsUnknown,
	strict.Repeated: result.SettingsDuplicate,
	strict.Missing:  result.SettingsMissing,
	strict.Type:     result.SettingsType,
	strict.Unit:     result.SettingsUnit,
}

// resolve makes the names of files relative to dir, the directory of the
// settings file.
func (s *Common) resolve(dir string) {
	for _, f := range []*string{&s.TLS.CA, &s.TLS.Cert, &s.TLS.Key, &s.BundleFile} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}
