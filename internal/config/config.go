// Package config reads the settings of a process from a JSON file and from flags, which
// override the file, and validates them before the process starts anything else.
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
	// Invalid is the type of errors for settings that are missing or have an invalid value.
	// The message begins with the name of the setting.
	Invalid = Errors.NewType("invalid_setting")
)

const (
	minShutdownTimeoutUs     = 100_000
	defaultShutdownTimeoutUs = 10_000_000
	maxShutdownTimeoutUs     = 600_000_000
	maxTestSyncUs            = 60_000_000
	maxSeeds                 = 3
	// maxLosses is the highest number of simultaneous failures that a group can be configured
	// to tolerate. To tolerate 9 failures, a group needs 2*9+1 = 19 replicas.
	maxLosses = 9
)

// Flags holds the settings given on the command line. The zero value is ready for Register.
type Flags struct {
	file   string
	seeds  string
	losses uint
	values schema.Settings
	apply  map[string]func(*schema.Settings) // by flag name: copies the value of the flag to the settings
}

// Register adds the flags to a flag set. If hasStorage is set, these include the flags for
// processes that store data.
func (f *Flags) Register(set *flag.FlagSet, hasStorage bool) {
	f.apply = map[string]func(*schema.Settings){}
	set.StringVar(&f.file, "options", "", "JSON file with the settings; flags override it")
	set.StringVar(&f.seeds, "seeds", "", "one to three internal addresses, separated by commas, through which this process joins; its own may be among them")
	f.apply["seeds"] = func(s *schema.Settings) { s.Seeds = strings.Split(f.seeds, ",") }
	set.StringVar(setting(f, "cell", func(s *schema.Settings) *string { return &s.Zone }),
		"cell", "", "availability zone of this machine")
	set.StringVar(setting(f, "inner", func(s *schema.Settings) *string { return &s.InternalAddress }),
		"inner", "", "IP:port on which to listen for the cluster's own processes")
	set.StringVar(setting(f, "outer", func(s *schema.Settings) *string { return &s.HttpAddress }),
		"outer", "", "IP:port on which to listen for HTTP")
	set.StringVar(setting(f, "trace", func(s *schema.Settings) *string { return &s.TraceFile }),
		"trace", "", "file to which the log is written after an error (default: standard error)")
	set.Int64Var(setting(f, "warn_us", func(s *schema.Settings) *int64 { return &s.ShutdownTimeoutUs }),
		"warn_us", 0, "timeout of a graceful shutdown, in microseconds (default 10000000)")
	set.StringVar(setting(f, "test_cuts", func(s *schema.Settings) *string { return &s.TestPartitions }),
		"test_cuts", "", "for tests: file with internal addresses to which nothing is sent")
	if hasStorage {
		f.registerStorage(set)
	}
}

// registerStorage adds the flags that only processes with storage have.
func (f *Flags) registerStorage(set *flag.FlagSet) {
	set.StringVar(setting(f, "data", func(s *schema.Settings) *string { return &s.DataDir }),
		"data", "", "data directory; without one, this process stores nothing durable")
	set.BoolVar(setting(f, "first", func(s *schema.Settings) *bool { return &s.InitialBootstrap }),
		"first", false, "the whole system starts for the first time, so this node may bootstrap it")
	set.UintVar(&f.losses, "losses", 0, "number of simultaneous failures of storage nodes to tolerate (default one)")
	f.apply["losses"] = func(s *schema.Settings) { s.MachineFailures = uint32(min(f.losses, math.MaxUint32)) }
	set.Int64Var(setting(f, "test_sync_us", func(s *schema.Settings) *int64 { return &s.TestSyncUs }),
		"test_sync_us", 0, "for tests: minimum duration of a sync, in microseconds")
}

// setting returns the variable that stores the value of a flag, and makes Load copy the value
// to the same field of the settings if the flag is set.
func setting[T any](f *Flags, name string, field func(*schema.Settings) *T) *T {
	value := field(&f.values)
	f.apply[name] = func(s *schema.Settings) { *field(s) = *value }
	return value
}

// Load reads the settings file, if any, overrides it with the flags that are set, and
// validates the result. Errors are of type Invalid.
func (f *Flags) Load(set *flag.FlagSet) (*schema.Settings, error) {
	if set.NArg() > 0 {
		return nil, Invalid.New("%s: unexpected argument, only flags are accepted", set.Arg(0))
	}
	if f.file == "" {
		return f.override(set, &schema.Settings{})
	}
	data, err := os.ReadFile(f.file)
	if err != nil {
		return nil, Invalid.Wrap(err, "options")
	}
	return f.parse(set, data)
}

// parse parses the content of the settings file and overrides it with the flags that are set.
func (f *Flags) parse(set *flag.FlagSet, data []byte) (*schema.Settings, error) {
	options := &schema.Settings{}
	if err := schema.UnmarshalJSON(data, options); err != nil {
		// protojson randomly replaces spaces in its errors with non-breaking spaces.
		return nil, Invalid.New("options: the file %s is invalid: %s", f.file, strings.ReplaceAll(err.Error(), "\u00a0", " "))
	}
	return f.override(set, options)
}

// override sets what the flags set, and validates the result.
func (f *Flags) override(set *flag.FlagSet, options *schema.Settings) (*schema.Settings, error) {
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

// Validate checks settings. The error is of type Invalid and names the first invalid setting
// that was found.
func Validate(options *schema.Settings) error {
	if !cellPattern.MatchString(options.Zone) {
		return Invalid.New("cell: %q is not a valid name: use at most 63 lower-case letters, digits, '.', '_' and '-', with a letter or digit first", options.Zone)
	}
	if err := validateAddresses(options); err != nil {
		return err
	}
	if options.ShutdownTimeoutUs < minShutdownTimeoutUs || options.ShutdownTimeoutUs > maxShutdownTimeoutUs {
		return Invalid.New("warn_us: the value must lie between %d and %d", minShutdownTimeoutUs, maxShutdownTimeoutUs)
	}
	if options.TestSyncUs < 0 || options.TestSyncUs > maxTestSyncUs {
		return Invalid.New("test_sync_us: the value must lie between 0 and %d", maxTestSyncUs)
	}
	if options.DiskBytes < 0 {
		return Invalid.New("disk_bytes: the value must not be negative, but is %d", options.DiskBytes)
	}
	for _, tolerated := range []struct {
		field string
		value uint32
	}{
		{"losses", options.MachineFailures}, {"zone_losses", options.ZoneFailures}, {"region_losses", options.RegionFailures},
	} {
		if tolerated.value > maxLosses {
			return Invalid.New("%s: the value must be at most %d", tolerated.field, maxLosses)
		}
	}
	return validateBounds(options.Bounds)
}

// validateAddresses checks the addresses on which the process listens, and the seeds.
func validateAddresses(options *schema.Settings) error {
	for _, address := range []struct{ field, value string }{{"inner", options.InternalAddress}, {"outer", options.HttpAddress}} {
		if problem := addressProblem(address.value); problem != "" {
			return Invalid.New("%s: %s", address.field, problem)
		}
	}
	if options.InternalAddress == options.HttpAddress {
		return Invalid.New("outer: the address must differ from the internal one (inner), but both are %s", options.InternalAddress)
	}
	if len(options.Seeds) < 1 || len(options.Seeds) > maxSeeds {
		return Invalid.New("seeds: one to three addresses are required, but %d are given", len(options.Seeds))
	}
	seen := map[string]bool{}
	for k, seed := range options.Seeds {
		if problem := addressProblem(seed); problem != "" {
			return Invalid.New("seeds[%d]: %s", k, problem)
		}
		if seen[seed] {
			return Invalid.New("seeds[%d]: the address %s is given more than once", k, seed)
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
			return Invalid.New("bounds.%s: the value must not be negative, but is %d", field.JSONName(), value)
		}
	}
	return nil
}

// addressProblem describes what is wrong with an address of the form IP:port. It returns an
// empty string if the address is valid.
func addressProblem(address string) string {
	if address == "" {
		return "the address is missing"
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q doesn't have the form IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q has a host that isn't an IP address", address)
	}
	if number, err := net.LookupPort("tcp", port); err != nil || number == 0 {
		return fmt.Sprintf("%q has a port that isn't a number from 1 to 65535", address)
	}
	return ""
}
