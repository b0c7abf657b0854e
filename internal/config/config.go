// Package config reads the settings of a process from a JSON file and from flags, which
// override the file, and validates them before anything starts.
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

	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("config")
	// Invalid means a setting with an invalid value; the message names the setting.
	Invalid = Errors.NewType("bad")
)

const (
	minShutdownTimeoutUs     = 100_000
	defaultShutdownTimeoutUs = 10_000_000
	maxShutdownTimeoutUs     = 600_000_000
	maxTestSyncUs            = 60_000_000
	maxSeeds                 = 3
	// maxLosses is the most failures that a group can be made to tolerate: 2*9+1 = 19 replicas.
	maxLosses = 9
)

// Flags are the command line's settings. The zero value is ready for Register.
type Flags struct {
	file   string
	seeds  string
	losses uint
	values schema.Settings
	apply  map[string]func(*schema.Settings) // by flag: copies the flag's value
}

// Register adds the flags to a flag set, with those about storage if the process may have
// some.
func (f *Flags) Register(set *flag.FlagSet, hasStorage bool) {
	f.apply = map[string]func(*schema.Settings){}
	set.StringVar(&f.file, "options", "", "JSON file with the settings; flags override it")
	set.StringVar(&f.seeds, "seeds", "", "one to three internal addresses, separated by commas; our own may be among them")
	f.apply["seeds"] = func(s *schema.Settings) { s.Seeds = strings.Split(f.seeds, ",") }
	set.StringVar(setting(f, "cell", func(s *schema.Settings) *string { return &s.Zone }),
		"cell", "", "cell (zone) of this machine")
	set.StringVar(setting(f, "inner", func(s *schema.Settings) *string { return &s.InternalAddress }),
		"inner", "", "IP:port for the cluster's own processes")
	set.StringVar(setting(f, "outer", func(s *schema.Settings) *string { return &s.HttpAddress }),
		"outer", "", "IP:port for HTTP")
	set.StringVar(setting(f, "trace", func(s *schema.Settings) *string { return &s.TraceFile }),
		"trace", "", "file that the log is written to after an error (default: standard error)")
	set.Int64Var(setting(f, "warn_us", func(s *schema.Settings) *int64 { return &s.ShutdownTimeoutUs }),
		"warn_us", 0, "timeout of a graceful shutdown, in microseconds (default 10000000)")
	set.StringVar(setting(f, "test_cuts", func(s *schema.Settings) *string { return &s.TestPartitions }),
		"test_cuts", "", "for tests: file of internal addresses that nothing is sent to")
	if hasStorage {
		f.registerStorage(set)
	}
}

func (f *Flags) registerStorage(set *flag.FlagSet) {
	set.StringVar(setting(f, "data", func(s *schema.Settings) *string { return &s.DataDir }),
		"data", "", "data directory; without one nothing durable is stored here")
	set.BoolVar(setting(f, "first", func(s *schema.Settings) *bool { return &s.InitialBootstrap }),
		"first", false, "the whole system starts for the first time: this node may bootstrap it")
	set.UintVar(&f.losses, "losses", 0, "failures of storage nodes at once that must be tolerated (default one)")
	f.apply["losses"] = func(s *schema.Settings) { s.MachineFailures = uint32(min(f.losses, math.MaxUint32)) }
	set.Int64Var(setting(f, "test_sync_us", func(s *schema.Settings) *int64 { return &s.TestSyncUs }),
		"test_sync_us", 0, "for tests: minimum duration of a sync, in microseconds")
}

// setting returns where a flag keeps its value, and has Load copy it to the field of the
// settings.
func setting[T any](f *Flags, name string, field func(*schema.Settings) *T) *T {
	value := field(&f.values)
	f.apply[name] = func(s *schema.Settings) { *field(s) = *value }
	return value
}

// Load reads the file, overrides it with the flags that are set, and validates the
// result. Errors: Invalid.
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
		if err := schema.UnmarshalJSON(data, options); err != nil {
			// protojson randomly replaces spaces in its errors.
			return nil, Invalid.New("options file %s: %s", f.file, strings.ReplaceAll(err.Error(), "\u00a0", " "))
		}
	}
	set.Visit(func(visited *flag.Flag) {
		if apply, found := f.apply[visited.Name]; found {
			apply(options)
		}
	})
	if options.ShutdownTimeoutUs == 0 {
		options.ShutdownTimeoutUs = defaultShutdownTimeoutUs
	}
	return options, Validate(options)
}

var cellPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate checks settings. Errors: Invalid, for the first setting that isn't valid.
func Validate(options *schema.Settings) error {
	if !cellPattern.MatchString(options.Zone) {
		return Invalid.New("cell: %q is no name of a cell", options.Zone)
	}
	if err := validateAddresses(options); err != nil {
		return err
	}
	if options.ShutdownTimeoutUs < minShutdownTimeoutUs || options.ShutdownTimeoutUs > maxShutdownTimeoutUs {
		return Invalid.New("warn_us: must lie between %d and %d", minShutdownTimeoutUs, maxShutdownTimeoutUs)
	}
	if options.TestSyncUs < 0 || options.TestSyncUs > maxTestSyncUs {
		return Invalid.New("test_sync_us: must lie between 0 and %d", maxTestSyncUs)
	}
	if options.DiskBytes < 0 {
		return Invalid.New("disk_bytes: %d is negative", options.DiskBytes)
	}
	for _, tolerated := range []struct {
		field string
		value uint32
	}{
		{"losses", options.MachineFailures}, {"zone_losses", options.ZoneFailures}, {"region_losses", options.RegionFailures},
	} {
		if tolerated.value > maxLosses {
			return Invalid.New("%s: must be at most %d", tolerated.field, maxLosses)
		}
	}
	return validateBounds(options.Bounds)
}

func validateAddresses(options *schema.Settings) error {
	for _, each := range []struct{ field, value string }{{"inner", options.InternalAddress}, {"outer", options.HttpAddress}} {
		if why := addressProblem(each.value); why != "" {
			return Invalid.New("%s: %s", each.field, why)
		}
	}
	if options.InternalAddress == options.HttpAddress {
		return Invalid.New("outer: is the same as inner (%s)", options.InternalAddress)
	}
	if len(options.Seeds) < 1 || len(options.Seeds) > maxSeeds {
		return Invalid.New("seeds: one to three addresses are needed, %d are given", len(options.Seeds))
	}
	seen := map[string]bool{}
	for k, seed := range options.Seeds {
		if why := addressProblem(seed); why != "" {
			return Invalid.New("seeds[%d]: %s", k, why)
		}
		if seen[seed] {
			return Invalid.New("seeds[%d]: %s is given twice", k, seed)
		}
		seen[seed] = true
	}
	return nil
}

// validateBounds checks that no bound is negative.
func validateBounds(bounds *schema.Bounds) error {
	reflected := bounds.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for k := range fields.Len() {
		field := fields.Get(k)
		if value := reflected.Get(field).Int(); value < 0 {
			return Invalid.New("bounds.%s: %d is negative", field.JSONName(), value)
		}
	}
	return nil
}

// addressProblem says what is wrong with an IP:PORT; empty: nothing is.
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
