package config

import (
	"encoding/json"
	"flag"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/schema"
	"sparnotch/internal/settingsfile"
)

// seedsSetting is the only setting that a running process takes from a changed file.
const seedsSetting = "seeds"

// WatchFile returns a watcher of the settings file, or nil if there is none. settings are those
// that Load has returned. Flags override the changed file as they override the first one.
func (f *Flags) WatchFile(set *flag.FlagSet, settings *schema.Settings) *settingsfile.Watcher {
	if f.file == "" {
		return nil
	}
	parse := func(data []byte) (*settingsfile.Content, error) {
		parsed, err := f.parse(set, data)
		if err != nil {
			return nil, err
		}
		return &settingsfile.Content{Settings: parsed, Values: valuesByName(parsed)}, nil
	}
	return settingsfile.NewWatcher(f.file, parse, valuesByName(settings), seedsSetting)
}

// valuesByName returns the values of the settings that are set, in JSON, by their names.
func valuesByName(settings *schema.Settings) map[string]string {
	var fields map[string]any
	data, err := protojson.Marshal(settings)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		panic("config: valid settings can't be encoded: " + err.Error())
	}
	values := map[string]string{}
	for name, value := range fields {
		values[name] = fmt.Sprint(value) // fmt sorts the keys of maps
	}
	return values
}
