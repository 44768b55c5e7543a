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

const goodScheduler = `{
  "deployment": "dosanko", "instance": "i1", "zone": "ishikari",
  "zones": ["ishikari", "tokachi"],
  "platform": {"tables": "http://127.0.0.1:7001", "objects": "http://127.0.0.1:7001", "instances": "http://127.0.0.1:7001", "timeout": "2s"},
  "peer_listen": "127.0.1.1:7202", "heartbeat": "500ms", "drain": "10s",
  "log": {"format": "json", "level": "info"},
  "operator_listen": "127.0.1.1:7300", "shards": 4, "grant": "6s",
  "promise": {"latency": "2m", "batch": "5m"},
  "exchange": "1s", "cycle": "100ms", "commit": "20ms"
}`

// write stores text in a new file and returns its name.
func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLoadScheduler(t *testing.T) {
	s, err := LoadScheduler(write(t, goodScheduler))
	if err != nil {
		t.Fatal(err)
	}
	if s.Grant.D().Seconds() != 6 || s.Platform.Tables != "http://127.0.0.1:7001" || s.Shards != 4 {
		t.Errorf("LoadScheduler() = %+v", s)
	}
}

// wanted is the code and the path of a fault.
type wanted struct {
	code result.Code
	path string
}

var brokenTests = []struct {
	name     string
	old, new string // replaced in goodScheduler
	want     []wanted
}{
	{"syntax", `"shards": 4,`, `"shards": 4;`, []wanted{{result.SettingsSyntax, ""}}},
	{"empty", goodScheduler, ``, []wanted{{result.SettingsSyntax, ""}}},
	{"not an object", goodScheduler, `[]`, []wanted{{result.SettingsType, ""}}},
	{"trailing", `"commit": "20ms"` + "\n}", `"commit": "20ms"} {}`, []wanted{{result.SettingsTrailing, ""}}},
	{"unknown field", `"shards"`, `"shard": 1, "shards"`, []wanted{{result.SettingsUnknown, "shard"}}},
	{"unknown inner field", `"latency": "2m"`, `"latency": "2m", "x": 1`, []wanted{{result.SettingsUnknown, "promise.x"}}},
	{"other case", `"shards"`, `"Shards"`, []wanted{{result.SettingsUnknown, "Shards"}, {result.SettingsMissing, "shards"}}},
	{"wrong type", `"shards": 4`, `"shards": "4"`, []wanted{{result.SettingsType, "shards"}}},
	{"wrong type in a list", `["ishikari", "tokachi"]`, `["ishikari", 7]`, []wanted{{result.SettingsType, "zones[1]"}}},
	{"fraction", `"shards": 4`, `"shards": 4.5`, []wanted{{result.SettingsType, "shards"}}},
	{"null", `"shards": 4`, `"shards": null`, []wanted{{result.SettingsType, "shards"}}},
	{"duration without unit", `"grant": "6s"`, `"grant": "6"`, []wanted{{result.SettingsUnit, "grant"}}},
	{"duration as number", `"grant": "6s"`, `"grant": 6`, []wanted{{result.SettingsUnit, "grant"}}},
	{"duration of unknown unit", `"grant": "6s"`, `"grant": "6 sec"`, []wanted{{result.SettingsUnit, "grant"}}},
	{"missing", `"shards": 4,`, ``, []wanted{{result.SettingsMissing, "shards"}}},
	{"missing object", `"promise": {"latency": "2m", "batch": "5m"},`, ``, []wanted{{result.SettingsMissing, "promise"}}},
	{"empty name", `"i1"`, `""`, []wanted{{result.SettingsMissing, "instance"}}},
	{"range", `"shards": 4`, `"shards": 0`, []wanted{{result.SettingsRange, "shards"}}},
	{"negative duration", `"drain": "10s"`, `"drain": "-10s"`, []wanted{{result.SettingsRange, "drain"}}},
	{"log level", `"info"`, `"loud"`, []wanted{{result.SettingsRange, "log.level"}}},
	{"name with a slash", `"i1"`, `"i/1"`, []wanted{{result.SettingsRange, "instance"}}},
	{"host name", `"127.0.1.1:7300"`, `"localhost:7300"`, []wanted{{result.SettingsAddress, "operator_listen"}}},
	{"no port", `"127.0.1.1:7300"`, `"127.0.1.1"`, []wanted{{result.SettingsAddress, "operator_listen"}}},
	{"port 0", `"127.0.1.1:7300"`, `"127.0.1.1:0"`, []wanted{{result.SettingsAddress, "operator_listen"}}},
	{"every interface", `"127.0.1.1:7300"`, `"0.0.0.0:7300"`, []wanted{{result.SettingsAddress, "operator_listen"}}},
	{"platform by name", `"tables": "http://127.0.0.1:7001"`, `"tables": "http://platform:7001"`, []wanted{{result.SettingsAddress, "platform.tables"}}},
	{"same address", `"127.0.1.1:7300"`, `"127.0.1.1:7202"`, []wanted{{result.SettingsDuplicate, "operator_listen"}}},
	{"same zone", `"tokachi"]`, `"ishikari"]`, []wanted{{result.SettingsDuplicate, "zones[1]"}}},
	{"same field", `"shards": 4`, `"shards": 4, "shards": 5`, []wanted{{result.SettingsDuplicate, "shards"}}},
	{"zone not known", `"zone": "ishikari"`, `"zone": "kamikawa"`, []wanted{{result.SettingsZone, "zone"}}},
	{"no zones", `["ishikari", "tokachi"]`, `[]`, []wanted{{result.SettingsZone, "zones"}}},
	{"promise below grant", `"latency": "2m"`, `"latency": "5s"`, []wanted{{result.SettingsConflict, "promise.latency"}}},
	{"heartbeat too long", `"heartbeat": "500ms"`, `"heartbeat": "3s"`, []wanted{{result.SettingsConflict, "heartbeat"}}},
	{"exchange too long", `"exchange": "1s"`, `"exchange": "4s"`, []wanted{{result.SettingsConflict, "exchange"}}},
	{"key file", `"heartbeat"`, `"tls": {"ca": "none.pem", "cert": "none.pem", "key": "none.pem"}, "heartbeat"`, []wanted{{result.SettingsKeyFile, "tls.ca"}, {result.SettingsKeyFile, "tls.key"}}},
	{"no keys", `"127.0.1.1:7202"`, `"10.0.0.1:7202"`, []wanted{{result.SettingsMissing, "tls"}}},
	{"half the keys", `"heartbeat"`, `"tls": {"ca": ""}, "heartbeat"`, []wanted{{result.SettingsMissing, "tls.cert"}, {result.SettingsMissing, "tls.key"}}},
	{
		"three faults", `"shards": 4, "grant": "6s"`, `"shards": -1, "grant": 6, "extra": 1`,
		[]wanted{{result.SettingsUnit, "grant"}, {result.SettingsUnknown, "extra"}, {result.SettingsRange, "shards"}},
	},
}

func TestLoadBroken(t *testing.T) {
	codes := map[result.Code]bool{}
	for _, tt := range brokenTests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(goodScheduler, tt.old, tt.new, 1)
			if text == goodScheduler {
				t.Fatal("nothing was replaced")
			}
			file := write(t, text)
			_, err := LoadScheduler(file)
			checkFaults(t, file, err, tt.want)
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

func checkFaults(t *testing.T, file string, err error, want []wanted) {
	t.Helper()
	var got []wanted
	for _, f := range Faults(err) {
		got = append(got, wanted{f.Code, f.Path})
		if f.File != file || f.Want == "" || !strings.Contains(err.Error(), f.Error()) {
			t.Errorf("fault %+v lacks the file or what was expected", f)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("faults %v, want %v (%v)", got, want, err)
	}
	if result.Of(err) != want[0].code {
		t.Errorf("result.Of() = %d, want %d", result.Of(err), want[0].code)
	}
}

func checkUnreadable(t *testing.T) result.Code {
	t.Helper()
	file := filepath.Join(t.TempDir(), "none.json")
	_, err := LoadScheduler(file)
	checkFaults(t, file, err, []wanted{{result.SettingsUnreadable, ""}})
	return result.Of(err)
}

func TestLoadEntry(t *testing.T) {
	text := strings.NewReplacer(
		`"operator_listen": "127.0.1.1:7300", "shards": 4, "grant": "6s",`, `"listen": "127.0.1.1:7100",`,
		`"promise": {"latency": "2m", "batch": "5m"},`, `"max_header_bytes": 32768, "max_in_flight": 5000,`,
		`"exchange": "1s", "cycle": "100ms", "commit": "20ms"`, `"key_ranges": 16`,
	).Replace(goodScheduler)
	s, err := LoadEntry(write(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen != "127.0.1.1:7100" || s.KeyRanges != 16 {
		t.Errorf("LoadEntry() = %+v", s)
	}
	_, err = LoadEntry(write(t, goodScheduler))
	if result.Of(err) != result.SettingsUnknown {
		t.Errorf("a scheduler's settings: %v, want code %d", err, result.SettingsUnknown)
	}
}

// FuzzLoad checks that what passes can be written and read again, and that no
// input makes the loader fail otherwise than by faults.
func FuzzLoad(f *testing.F) {
	f.Add(goodScheduler)
	for _, tt := range brokenTests {
		f.Add(strings.Replace(goodScheduler, tt.old, tt.new, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parse([]byte(text), &checker{file: "f"}, checkScheduler)
		if err != nil {
			if len(Faults(err)) == 0 {
				t.Fatalf("an error without a fault: %v", err)
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parse(again, &checker{file: "f"}, checkScheduler); err != nil {
			t.Fatalf("what was accepted is refused when written again: %v", err)
		}
	})
}
