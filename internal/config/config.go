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
	// Invalid means a setting that can't be; the error names it.
	Invalid = Errors.NewType("bad")
)

// Flags are the settings as flags.
type Flags struct {
	file   string
	seeds  string
	losses uint
	values schema.Settings
}

// Register adds the settings to a flag set.
func (f *Flags) Register(set *flag.FlagSet, hasData bool) {
	set.StringVar(&f.file, "options", "", "JSON file with the settings; a flag wins over it")
	set.StringVar(&f.values.Cell, "cell", "", "cell (zone) this machine stands in")
	set.StringVar(&f.values.Inner, "inner", "", "IP:port for the system's own processes")
	set.StringVar(&f.values.Outer, "outer", "", "IP:port for HTTP")
	set.StringVar(&f.seeds, "seeds", "", "one to three inner addresses, joined by commas; our own may be among them")
	set.StringVar(&f.values.Trace, "trace", "", "file the log is written to when something goes wrong (default: standard error)")
	set.Int64Var(&f.values.WarnUs, "warn_us", 0, "longest time to leave after a warning, in microseconds (default 10000000)")
	set.StringVar(&f.values.TestCuts, "test_cuts", "", "for tests: file of inner addresses that nothing is sent to")
	if hasData {
		set.StringVar(&f.values.Data, "data", "", "data folder; without one nothing durable is held here")
		set.BoolVar(&f.values.First, "first", false, "the whole system starts for the first time: this store may help found it")
		set.UintVar(&f.losses, "losses", 0, "stores that may be lost at once (default one)")
		set.Int64Var(&f.values.TestSyncUs, "test_sync_us", 0, "for tests: a sync takes at least this long")
	}
}

// Load reads the file, lays the flags over it, and checks the whole.
func (f *Flags) Load(set *flag.FlagSet) (*schema.Settings, error) {
	if set.NArg() > 0 {
		return nil, Invalid.New("%s: is no flag", set.Arg(0))
	}
	options := &schema.Settings{}
	if f.file != "" {
		data, err := os.ReadFile(f.file)
		if err != nil {
			return nil, Invalid.Wrap(err, "options")
		}
		// protojson names the key it doesn't know.
		if err := protojson.Unmarshal(data, options); err != nil {
			return nil, Invalid.New("options file %s: %s", f.file, strings.ReplaceAll(err.Error(), "\u00a0", " "))
		}
	}
	set.Visit(func(set *flag.Flag) {
		switch set.Name {
		case "cell":
			options.Cell = f.values.Cell
		case "inner":
			options.Inner = f.values.Inner
		case "outer":
			options.Outer = f.values.Outer
		case "seeds":
			options.Seeds = strings.Split(f.seeds, ",")
		case "trace":
			options.Trace = f.values.Trace
		case "warn_us":
			options.WarnUs = f.values.WarnUs
		case "data":
			options.Data = f.values.Data
		case "first":
			options.First = f.values.First
		case "losses":
			options.Losses = uint32(min(f.losses, math.MaxUint32))
		case "test_sync_us":
			options.TestSyncUs = f.values.TestSyncUs
		case "test_cuts":
			options.TestCuts = f.values.TestCuts
		}
	})
	if options.WarnUs == 0 {
		options.WarnUs = 10_000_000
	}
	return options, Validate(options)
}

var cellPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// maxLosses: a group of nineteen stores withstands nine; more only cost.
const maxLosses = 9

// Validate names the first setting that can't be taken.
func Validate(options *schema.Settings) error {
	if !cellPattern.MatchString(options.Cell) {
		return Invalid.New("cell: %q is no name of a cell", options.Cell)
	}
	for _, each := range []struct{ field, value string }{{"inner", options.Inner}, {"outer", options.Outer}} {
		if why := addressProblem(each.value); why != "" {
			return Invalid.New("%s: %s", each.field, why)
		}
	}
	if options.Inner == options.Outer {
		return Invalid.New("outer: is the same as inner (%s)", options.Inner)
	}
	if len(options.Seeds) < 1 || len(options.Seeds) > 3 {
		return Invalid.New("seeds: one to three addresses are needed, %d are given", len(options.Seeds))
	}
	seen := map[string]bool{}
	for k, seed := range options.Seeds {
		if why := addressProblem(seed); why != "" {
			return Invalid.New("seeds[%d]: %s", k, why)
		}
		if seen[seed] {
			return Invalid.New("seeds[%d]: %s stands twice", k, seed)
		}
		seen[seed] = true
	}
	if options.WarnUs < 100_000 || options.WarnUs > 600_000_000 {
		return Invalid.New("warn_us: must lie between 100000 and 600000000")
	}
	if options.TestSyncUs < 0 || options.TestSyncUs > 60_000_000 {
		return Invalid.New("test_sync_us: must lie between 0 and 60000000")
	}
	if options.DiskBytes < 0 {
		return Invalid.New("disk_bytes: %d is negative", options.DiskBytes)
	}
	if options.Losses > maxLosses {
		return Invalid.New("losses: must be at most %d", maxLosses)
	}
	if options.ZoneLosses > maxLosses {
		return Invalid.New("zone_losses: must be at most %d", maxLosses)
	}
	if options.RegionLosses > maxLosses {
		return Invalid.New("region_losses: must be at most %d", maxLosses)
	}
	return validateBounds(options.Bounds)
}

// validateBounds names the first bound that is negative.
func validateBounds(bounds *schema.Bounds) error {
	reflected := bounds.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for k := range fields.Len() {
		field := fields.Get(k)
		if value := reflected.Get(field).Int(); value < 0 {
			return Invalid.New("bounds.%s: %d is negative", field.Name(), value)
		}
	}
	return nil
}

func addressProblem(address string) string {
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
