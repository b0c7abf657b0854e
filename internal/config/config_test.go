package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

func load(args ...string) (*schema.Settings, error) {
	var flags Flags
	set := flag.NewFlagSet("test", flag.ContinueOnError)
	flags.Register(set, true)
	So(set.Parse(args), ShouldBeNil)
	return flags.Load(set)
}

func TestOptions(t *testing.T) {
	good := []string{"-cell", "c1", "-inner", "127.0.0.1:7001", "-outer", "127.0.0.1:8001", "-seeds", "127.0.0.1:7001,127.0.0.2:7001,127.0.0.3:7001"}
	Convey("Flags override the file, and both the file and the flags can set first and losses", t, func() {
		file := filepath.Join(t.TempDir(), "options.json")
		So(os.WriteFile(file, []byte(`{"first":true,"losses":2,"bounds":{"gatherUs":"5000","beat_us":7}}`), 0o600), ShouldBeNil)
		loaded, err := load(append(good, "-options", file)...)
		So(err, ShouldBeNil)
		So(loaded.InitialBootstrap, ShouldBeTrue)
		So(loaded.MachineFailures, ShouldEqual, 2)
		So(loaded.Bounds.GangTimeoutUs, ShouldEqual, 5000)
		So(loaded.Bounds.HeartbeatIntervalUs, ShouldEqual, 7)
		loaded, err = load(append(good, "-options", file, "-first=false", "-losses", "1")...)
		So(err, ShouldBeNil)
		So(loaded.InitialBootstrap, ShouldBeFalse)
		So(loaded.MachineFailures, ShouldEqual, 1)
	})
	Convey("The error for an invalid setting names the setting", t, func() {
		base, err := load(good...)
		So(err, ShouldBeNil)
		for _, test := range []struct {
			change func(o *schema.Settings)
			named  string // part of the error that names the setting; empty: the settings are valid
		}{
			{func(o *schema.Settings) {}, ""},
			{func(o *schema.Settings) { o.Seeds = o.Seeds[:1] }, ""},
			{func(o *schema.Settings) { o.Seeds = o.Seeds[1:] }, ""},
			{func(o *schema.Settings) { o.Seeds = nil }, "seeds: one to three"},
			{func(o *schema.Settings) { o.Seeds = append(o.Seeds, "127.0.0.4:7001") }, "seeds: one to three"},
			{func(o *schema.Settings) { o.Seeds = []string{"127.0.0.1:7001", "nowhere"} }, "seeds[1]"},
			{func(o *schema.Settings) { o.Seeds = []string{"127.0.0.1:7001", "127.0.0.1:7001"} }, "seeds[1]"},
			{func(o *schema.Settings) { o.MachineFailures = 9 }, ""},
			{func(o *schema.Settings) { o.MachineFailures = 10 }, "losses"},
			{func(o *schema.Settings) { o.Bounds = &schema.Bounds{} }, ""},
			{func(o *schema.Settings) { o.Bounds = &schema.Bounds{MaxWorkerLeaseUs: 1, DrainTimeoutUs: 2} }, ""},
			{func(o *schema.Settings) { o.Bounds = &schema.Bounds{MaxWorkerLeaseUs: -1} }, "bounds.hold_most_us"},
			{func(o *schema.Settings) { o.Bounds = &schema.Bounds{DrainTimeoutUs: -1} }, "bounds.drain_us"},
		} {
			o := proto.Clone(base).(*schema.Settings)
			test.change(o)
			err := Validate(o)
			if test.named == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, test.named)
		}
	})
}
