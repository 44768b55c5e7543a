package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"skylarkport/internal/result"
)

const validScheduler = `{
  "deployment": "dosanko", "instance": "i1", "zone": "ishikari",
  "zones": ["ishikari", "tokachi"],
  "platform": {"tables": "http://127.0.0.1:7001", "objects": "http://127.0.0.1:7001", "instances": "http://127.0.0.1:7001", "timeout": "2s"},
  "peer_listen": "127.0.1.1:7202", "heartbeat": "500ms", "drain": "10s",
  "log": {"format": "json", "level": "info"},
  "operator_listen": "127.0.1.1:7300", "shards": 4, "grant": "6s",
  "promise": {"latency": "2m", "batch": "5m"},
  "exchange": "1s", "cycle": "100ms", "commit": "20ms"
}`

// writeSettings stores text in a new file and returns its name.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLoadScheduler(t *testing.T) {
	s, err := LoadScheduler(writeSettings(t, validScheduler))
	if err != nil {
		t.Fatal(err)
	}
	if s.ShortLease.D().Seconds() != 6 || s.Platform.Tables != "http://127.0.0.1:7001" || s.Shards != 4 {
		t.Errorf("LoadScheduler() = %+v", s)
	}
}

// expectedError is the code and the path of an expected FieldError.
type expectedError struct {
	code result.Code
	path string
}

var invalidTests = []struct {
	name     string
	old, new string // the replacement in validScheduler that makes it invalid
	want     []expectedError
}{
	{"syntax", `"shards": 4,`, `"shards": 4;`, []expectedError{{result.SettingsSyntax, ""}}},
	{"empty", validScheduler, ``, []expectedError{{result.SettingsSyntax, ""}}},
	{"not an object", validScheduler, `[]`, []expectedError{{result.SettingsType, ""}}},
	{"trailing", `"commit": "20ms"` + "\n}", `"commit": "20ms"} {}`, []expectedError{{result.SettingsTrailingData, ""}}},
	{"unknown field", `"shards"`, `"shard": 1, "shards"`, []expectedError{{result.SettingsUnknownField, "shard"}}},
	{"unknown inner field", `"latency": "2m"`, `"latency": "2m", "x": 1`, []expectedError{{result.SettingsUnknownField, "promise.x"}}},
	{"other case", `"shards"`, `"Shards"`, []expectedError{{result.SettingsUnknownField, "Shards"}, {result.SettingsMissing, "shards"}}},
	{"wrong type", `"shards": 4`, `"shards": "4"`, []expectedError{{result.SettingsType, "shards"}}},
	{"wrong type in a list", `["ishikari", "tokachi"]`, `["ishikari", 7]`, []expectedError{{result.SettingsType, "zones[1]"}}},
	{"fraction", `"shards": 4`, `"shards": 4.5`, []expectedError{{result.SettingsType, "shards"}}},
	{"null", `"shards": 4`, `"shards": null`, []expectedError{{result.SettingsType, "shards"}}},
	{"duration without unit", `"grant": "6s"`, `"grant": "6"`, []expectedError{{result.SettingsUnit, "grant"}}},
	{"duration as number", `"grant": "6s"`, `"grant": 6`, []expectedError{{result.SettingsUnit, "grant"}}},
	{"duration of unknown unit", `"grant": "6s"`, `"grant": "6 sec"`, []expectedError{{result.SettingsUnit, "grant"}}},
	{"missing", `"shards": 4,`, ``, []expectedError{{result.SettingsMissing, "shards"}}},
	{"missing object", `"promise": {"latency": "2m", "batch": "5m"},`, ``, []expectedError{{result.SettingsMissing, "promise"}}},
	{"empty name", `"i1"`, `""`, []expectedError{{result.SettingsMissing, "instance"}}},
	{"range", `"shards": 4`, `"shards": 0`, []expectedError{{result.SettingsRange, "shards"}}},
	{"negative duration", `"drain": "10s"`, `"drain": "-10s"`, []expectedError{{result.SettingsRange, "drain"}}},
	{"log level", `"info"`, `"loud"`, []expectedError{{result.SettingsRange, "log.level"}}},
	{"name with a slash", `"i1"`, `"i/1"`, []expectedError{{result.SettingsRange, "instance"}}},
	{"host name", `"127.0.1.1:7300"`, `"localhost:7300"`, []expectedError{{result.SettingsAddress, "operator_listen"}}},
	{"no port", `"127.0.1.1:7300"`, `"127.0.1.1"`, []expectedError{{result.SettingsAddress, "operator_listen"}}},
	{"port 0", `"127.0.1.1:7300"`, `"127.0.1.1:0"`, []expectedError{{result.SettingsAddress, "operator_listen"}}},
	{"every interface", `"127.0.1.1:7300"`, `"0.0.0.0:7300"`, []expectedError{{result.SettingsAddress, "operator_listen"}}},
	{"platform by name", `"tables": "http://127.0.0.1:7001"`, `"tables": "http://platform:7001"`, []expectedError{{result.SettingsAddress, "platform.tables"}}},
	{"same address", `"127.0.1.1:7300"`, `"127.0.1.1:7202"`, []expectedError{{result.SettingsDuplicate, "operator_listen"}}},
	{"same zone", `"tokachi"]`, `"ishikari"]`, []expectedError{{result.SettingsDuplicate, "zones[1]"}}},
	{"same field", `"shards": 4`, `"shards": 4, "shards": 5`, []expectedError{{result.SettingsDuplicate, "shards"}}},
	{"zone not known", `"zone": "ishikari"`, `"zone": "kamikawa"`, []expectedError{{result.SettingsZone, "zone"}}},
	{"no zones", `["ishikari", "tokachi"]`, `[]`, []expectedError{{result.SettingsZone, "zones"}}},
	{"promise below grant", `"latency": "2m"`, `"latency": "5s"`, []expectedError{{result.SettingsConflict, "promise.latency"}}},
	{"heartbeat too long", `"heartbeat": "500ms"`, `"heartbeat": "3s"`, []expectedError{{result.SettingsConflict, "heartbeat"}}},
	{"exchange too long", `"exchange": "1s"`, `"exchange": "4s"`, []expectedError{{result.SettingsConflict, "exchange"}}},
	{"key file", `"heartbeat"`, `"tls": {"ca": "none.pem", "cert": "none.pem", "key": "none.pem"}, "heartbeat"`, []expectedError{{result.SettingsKeyFile, "tls.ca"}, {result.SettingsKeyFile, "tls.key"}}},
	{"no keys", `"127.0.1.1:7202"`, `"10.0.0.1:7202"`, []expectedError{{result.SettingsMissing, "tls"}}},
	{"half the keys", `"heartbeat"`, `"tls": {"ca": ""}, "heartbeat"`, []expectedError{{result.SettingsMissing, "tls.cert"}, {result.SettingsMissing, "tls.key"}}},
	{
		"three errors", `"shards": 4, "grant": "6s"`, `"shards": -1, "grant": 6, "extra": 1`,
		[]expectedError{{result.SettingsUnit, "grant"}, {result.SettingsUnknownField, "extra"}, {result.SettingsRange, "shards"}},
	},
}

func TestLoadInvalid(t *testing.T) {
	codes := map[result.Code]bool{}
	for _, tt := range invalidTests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validScheduler, tt.old, tt.new, 1)
			if text == validScheduler {
				t.Fatal("the text to replace is not in validScheduler")
			}
			file := writeSettings(t, text)
			_, err := LoadScheduler(file)
			checkErrors(t, file, err, tt.want)
		})
		for _, w := range tt.want {
			codes[w.code] = true
		}
	}
	codes[checkUnreadable(t)] = true
	if len(codes) < 12 {
		t.Errorf("%d distinct codes, want at least 12", len(codes))
	}
}

func checkErrors(t *testing.T, file string, err error, want []expectedError) {
	t.Helper()
	var got []expectedError
	for _, f := range FieldErrors(err) {
		got = append(got, expectedError{f.Code, f.Path})
		if f.File != file || f.Expected == "" || !strings.Contains(err.Error(), f.Error()) {
			t.Errorf("error %+v lacks the file or the expectation", f)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("errors %v, want %v (%v)", got, want, err)
	}
	if result.Of(err) != want[0].code {
		t.Errorf("result.Of() = %d, want %d", result.Of(err), want[0].code)
	}
}

func checkUnreadable(t *testing.T) result.Code {
	t.Helper()
	file := filepath.Join(t.TempDir(), "none.json")
	_, err := LoadScheduler(file)
	checkErrors(t, file, err, []expectedError{{result.SettingsUnreadable, ""}})
	return result.Of(err)
}

func TestLoadEntry(t *testing.T) {
	text := strings.NewReplacer(
		`"operator_listen": "127.0.1.1:7300", "shards": 4, "grant": "6s",`, `"listen": "127.0.1.1:7100",`,
		`"promise": {"latency": "2m", "batch": "5m"},`, `"max_header_bytes": 32768, "max_in_flight": 5000,`,
		`"exchange": "1s", "cycle": "100ms", "commit": "20ms"`, `"key_ranges": 16`,
	).Replace(validScheduler)
	s, err := LoadEntry(writeSettings(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen != "127.0.1.1:7100" || s.KeyRanges != 16 {
		t.Errorf("LoadEntry() = %+v", s)
	}
	_, err = LoadEntry(writeSettings(t, validScheduler))
	if result.Of(err) != result.SettingsUnknownField {
		t.Errorf("a scheduler's settings: %v, want code %d", err, result.SettingsUnknownField)
	}
}

// FuzzLoad checks that settings that are accepted can be written and read again, and
// that every error consists of FieldErrors.
func FuzzLoad(f *testing.F) {
	f.Add(validScheduler)
	for _, tt := range invalidTests {
		f.Add(strings.Replace(validScheduler, tt.old, tt.new, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parse([]byte(text), &checker{file: "f"}, checkScheduler)
		if err != nil {
			if len(FieldErrors(err)) == 0 {
				t.Fatalf("an error without a FieldError: %v", err)
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parse(again, &checker{file: "f"}, checkScheduler); err != nil {
			t.Fatalf("accepted settings are rejected when written and read again: %v", err)
		}
	})
}
