// Package config reads a process's settings from a file and from flags, a
// flag wins, and checks them before anything starts.
package config

import (
	"flag"
	"fmt"
	"math"
	"net"
	"os"
	"regexp"
	"strings"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of what this package refuses.
	Errors = errorx.NewNamespace("config")
	// Bad means a setting that can't be; the error names it.
	Bad = Errors.NewType("bad")
)

// Flags are the settings as flags.
type Flags struct {
	file  string
	seeds string
	loss  uint
	given schema.Settings
}

// Register adds the settings to a flag set.
func (f *Flags) Register(set *flag.FlagSet, hasData bool) {
	set.StringVar(&f.file, "options", "", "JSON file with the settings; a flag wins over it")
	set.StringVar(&f.given.Cell, "cell", "", "cell (zone) this machine stands in")
	set.StringVar(&f.given.Inner, "inner", "", "IP:port for the system's own processes")
	set.StringVar(&f.given.Outer, "outer", "", "IP:port for HTTP")
	set.StringVar(&f.seeds, "seeds", "", "one to three inner addresses, joined by commas; our own may be among them")
	set.StringVar(&f.given.Trace, "trace", "", "file the log is written to when something goes wrong (default: standard error)")
	set.Int64Var(&f.given.WarnUs, "warn_us", 0, "longest time to leave after a warning, in microseconds (default 10000000)")
	set.StringVar(&f.given.TestCuts, "test_cuts", "", "for tests: file of inner addresses that nothing is sent to")
	if hasData {
		set.StringVar(&f.given.Data, "data", "", "data folder; without one nothing durable is held here")
		set.BoolVar(&f.given.First, "first", false, "the whole system starts for the first time: this store may help found it")
		set.UintVar(&f.loss, "losses", 0, "stores that may be lost at once (default one)")
		set.Int64Var(&f.given.TestSyncUs, "test_sync_us", 0, "for tests: a sync takes at least this long")
	}
}

// Load reads the file, lays the flags over it, and checks the whole.
func (f *Flags) Load(set *flag.FlagSet) (*schema.Settings, error) {
	if set.NArg() > 0 {
		return nil, Bad.New("%s: is no flag", set.Arg(0))
	}
	loaded := &schema.Settings{}
	if f.file != "" {
		data, err := os.ReadFile(f.file)
		if err != nil {
			return nil, Bad.Wrap(err, "options")
		}
		// protojson names the key it doesn't know.
		if err := protojson.Unmarshal(data, loaded); err != nil {
			return nil, Bad.New("options file %s: %s", f.file, strings.ReplaceAll(err.Error(), "\u00a0", " "))
		}
	}
	set.Visit(func(each *flag.Flag) {
		switch each.Name {
		case "cell":
			loaded.Cell = f.given.Cell
		case "inner":
			loaded.Inner = f.given.Inner
		case "outer":
			loaded.Outer = f.given.Outer
		case "seeds":
			loaded.Seeds = strings.Split(f.seeds, ",")
		case "trace":
			loaded.Trace = f.given.Trace
		case "warn_us":
			loaded.WarnUs = f.given.WarnUs
		case "data":
			loaded.Data = f.given.Data
		case "first":
			loaded.First = f.given.First
		case "losses":
			loaded.Losses = uint32(min(f.loss, math.MaxUint32))
		case "test_sync_us":
			loaded.TestSyncUs = f.given.TestSyncUs
		case "test_cuts":
			loaded.TestCuts = f.given.TestCuts
		}
	})
	if loaded.WarnUs == 0 {
		loaded.WarnUs = 10_000_000
	}
	return loaded, Check(loaded)
}

var cellForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// maxLosses: a group of nineteen stores withstands nine; more only cost.
const maxLosses = 9

// Check names the first setting that can't be taken.
func Check(o *schema.Settings) error {
	if !cellForm.MatchString(o.Cell) {
		return Bad.New("cell: %q is no name of a cell", o.Cell)
	}
	for _, each := range []struct{ field, value string }{{"inner", o.Inner}, {"outer", o.Outer}} {
		if why := badAddress(each.value); why != "" {
			return Bad.New("%s: %s", each.field, why)
		}
	}
	if o.Inner == o.Outer {
		return Bad.New("outer: is the same as inner (%s)", o.Inner)
	}
	if len(o.Seeds) < 1 || len(o.Seeds) > 3 {
		return Bad.New("seeds: one to three addresses are needed, %d are given", len(o.Seeds))
	}
	seen := map[string]bool{}
	for k, seed := range o.Seeds {
		if why := badAddress(seed); why != "" {
			return Bad.New("seeds[%d]: %s", k, why)
		}
		if seen[seed] {
			return Bad.New("seeds[%d]: %s stands twice", k, seed)
		}
		seen[seed] = true
	}
	if o.WarnUs < 100_000 || o.WarnUs > 600_000_000 {
		return Bad.New("warn_us: must lie between 100000 and 600000000")
	}
	if o.TestSyncUs < 0 || o.TestSyncUs > 60_000_000 {
		return Bad.New("test_sync_us: must lie between 0 and 60000000")
	}
	if o.DiskBytes < 0 {
		return Bad.New("disk_bytes: %d is negative", o.DiskBytes)
	}
	if o.Losses > maxLosses {
		return Bad.New("losses: must be at most %d", maxLosses)
	}
	if o.ZoneLosses > maxLosses {
		return Bad.New("zone_losses: must be at most %d", maxLosses)
	}
	if o.RegionLosses > maxLosses {
		return Bad.New("region_losses: must be at most %d", maxLosses)
	}
	return checkBounds(o.Bounds)
}

// checkBounds names the first bound that is negative.
func checkBounds(bounds *schema.Bounds) error {
	reflected := bounds.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for k := range fields.Len() {
		field := fields.Get(k)
		if value := reflected.Get(field).Int(); value < 0 {
			return Bad.New("bounds.%s: %d is negative", field.Name(), value)
		}
	}
	return nil
}

func badAddress(address string) string {
	if address == "" {
		return "is missing"
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q: the host must be an IP number", address)
	}
	if number, err := net.LookupPort("tcp", port); err != nil || number == 0 {
		return fmt.Sprintf("%q: the port must be a number from 1 to 65535", address)
	}
	return ""
}
