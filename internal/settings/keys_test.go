package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"skylarkport/internal/link"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const tlsSettings = `{
  "deployment": "dosanko", "instance": "i1", "zone": "ishikari", "zones": ["ishikari"],
  "platform": {"tables": "https://10.0.0.1:7001", "objects": "https://10.0.0.1:7001", "instances": "https://10.0.0.1:7001", "timeout": "2s"},
  "peer_listen": "10.0.0.2:7202", "heartbeat": "1s", "drain": "10s", "tls": {"ca": %q, "cert": %q, "key": %q},
  "log": {"format": "json", "level": "info"}, "listen": "10.0.0.2:7100",
  "max_header_bytes": 65536, "max_in_flight": 5000, "key_ranges": 16
}`

// TestKeyFiles checks the validation of the TLS files that a settings file names,
// relative to itself or by absolute paths.
func TestKeyFiles(t *testing.T) {
	dir := t.TempDir()
	ca, err := link.GenerateCA("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b"} {
		pair, err := link.GenerateCert(ca, link.Identity{Deployment: "dosanko", Instance: name, Program: "entry"}, time.Now(), time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(dir, name+".crt"), pair.Cert)
		writeFile(t, filepath.Join(dir, name+".key"), pair.Key)
	}
	writeFile(t, filepath.Join(dir, "ca.crt"), ca.Cert)
	writeFile(t, filepath.Join(dir, "text"), []byte("no PEM"))
	tests := []struct {
		name          string
		ca, cert, key string
		want          []string // paths
	}{
		{"good", "ca.crt", "a.crt", "a.key", nil},
		{"absolute", filepath.Join(dir, "ca.crt"), "a.crt", "a.key", nil},
		{"key of another certificate", "ca.crt", "a.crt", "b.key", []string{"tls.key"}},
		{"no PEM as authority", "text", "a.crt", "a.key", []string{"tls.ca"}},
		{"a key as authority", "a.key", "a.crt", "a.key", []string{"tls.ca"}},
		{"no PEM as certificate", "ca.crt", "text", "a.key", []string{"tls.key"}},
		{"missing files", "x", "y", "z", []string{"tls.ca", "tls.key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(dir, "settings.json")
			writeFile(t, file, fmt.Appendf(nil, tlsSettings, tt.ca, tt.cert, tt.key))
			_, err := settings.LoadEntry(file)
			var got []string
			for _, f := range settings.FieldErrors(err) {
				got = append(got, f.Path)
				if f.Code != result.SettingsKeyFile {
					t.Errorf("%v, want code %d", f, result.SettingsKeyFile)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("errors at %v, want %v: %v", got, tt.want, err)
			}
		})
	}
}

func writeFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
