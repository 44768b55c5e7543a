package settings

import (
	"os"
	"path/filepath"
	"slices"

	"skylarkport/internal/result"
	"skylarkport/internal/strict"
)

// maxBytes bounds the size of a settings file.
const maxBytes = 1 << 20

// LoadEntry reads and validates the settings of skylark-entry. The error joins every
// FieldError of the file.
func LoadEntry(file string) (*Entry, error) {
	return load(file, func(s *Entry, c *checker) {
		s.resolvePaths(filepath.Dir(file))
		checkEntry(s, c)
	})
}

// LoadScheduler reads and validates the settings of skylark-scheduler. The error
// joins every FieldError of the file.
func LoadScheduler(file string) (*Scheduler, error) {
	return load(file, func(s *Scheduler, c *checker) {
		s.resolvePaths(filepath.Dir(file))
		checkScheduler(s, c)
	})
}

// load decodes file into a T and runs check on it. If a field could not be decoded,
// later errors that check finds for it are dropped.
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
	fieldErrs := strict.Decode(data, s, strict.Options{RequireAll: true})
	for _, f := range fieldErrs {
		c.add(codeOf[f.Kind], f.Path, "%s", f.Expected)
	}
	if !slices.ContainsFunc(fieldErrs, affectsWholeFile) {
		check(s, c)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// affectsWholeFile reports whether no field of the file could be decoded.
func affectsWholeFile(f strict.FieldError) bool { return f.Path == "" && f.Kind != strict.Trailing }

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

// codeOf maps the kind of a decoding error to a result code.
var codeOf = map[strict.Kind]result.Code{
	strict.Syntax:   result.SettingsSyntax,
	strict.Trailing: result.SettingsTrailingData,
	strict.Unknown:  result.SettingsUnknownField,
	strict.Repeated: result.SettingsDuplicate,
	strict.Missing:  result.SettingsMissing,
	strict.Type:     result.SettingsType,
	strict.Unit:     result.SettingsUnit,
}

// resolvePaths prefixes relative file names with dir, the directory of the settings
// file.
func (s *Common) resolvePaths(dir string) {
	for _, f := range []*string{&s.TLS.CA, &s.TLS.Cert, &s.TLS.Key, &s.BundleFile} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}
