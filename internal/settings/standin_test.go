package settings

import (
	"os"
	"strings"
	"testing"

	"skylarkport/internal/result"
)

const standinExample = "../../examples/dev/standin.json"

func TestLoadStandin(t *testing.T) {
	data, err := os.ReadFile(standinExample)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name     string
		old, new string
		want     []expectedError
	}{
		{"unchanged", "", "", nil},
		{"listen address not loopback", `"127.0.0.1:17000"`, `"10.0.0.1:17000"`, []expectedError{{result.SettingsAddress, "listen"}}},
		{"unspecified listen address", `"127.0.0.1:17000"`, `"0.0.0.0:17000"`, []expectedError{{result.SettingsAddress, "listen"}}},
		{"worker address not loopback", `"ip": "127.0.0.1"`, `"ip": "10.0.0.1"`, []expectedError{{result.SettingsAddress, "workers.ip"}}},
		{"peer address not loopback", `"127.0.0.1:17311"`, `"10.0.0.1:17311"`, []expectedError{{result.SettingsAddress, "entries[0].entry_peer"}}},
		{"not enough ports", `"base_port": 17100`, `"base_port": 65530`, []expectedError{{result.SettingsRange, "workers.base_port"}}},
		{"no capacity", `"milli_cpu": 32000, "memory_mb": 128000`, `"milli_cpu": 0, "memory_mb": 0`, []expectedError{{result.SettingsRange, "workers.capacity"}}},
		{"zone twice", `"name": "tokachi"`, `"name": "ishikari"`, []expectedError{
			{result.SettingsDuplicate, "zones[1].name"},
			{result.SettingsZone, "entries[2].zone"},
			{result.SettingsZone, "entries[3].zone"},
		}},
		{"reserved zone", `"name": "tokachi"`, `"name": "platform"`, []expectedError{
			{result.SettingsDuplicate, "zones[1].name"},
			{result.SettingsZone, "entries[2].zone"},
			{result.SettingsZone, "entries[3].zone"},
		}},
		{"entry twice", `"id": "ishikari-e2"`, `"id": "ishikari-e1"`, []expectedError{{result.SettingsDuplicate, "entries[1].id"}}},
		{"unknown field", `"list_lag"`, `"lag"`, []expectedError{{result.SettingsUnknownField, "lag"}, {result.SettingsMissing, "list_lag"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(string(data), tt.old, tt.new, 1)
			if tt.old != "" && text == string(data) {
				t.Fatalf("%q is not in the example", tt.old)
			}
			file := writeSettings(t, text)
			_, err := LoadStandin(file)
			if len(tt.want) > 0 {
				checkErrors(t, file, err, tt.want)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}
