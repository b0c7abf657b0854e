package daemon

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// seedsReceiver takes changed seeds; process.Node implements it.
type seedsReceiver interface {
	SetSeeds(seeds []string)
}

// checkSettings looks at the settings file and passes on what has changed. It returns the time
// until the next look.
func (d *daemon) checkSettings(node seedsReceiver) time.Duration {
	if d.settingsFile == nil {
		return settingsCheckInterval
	}
	change, err := d.settingsFile.Check()
	if err != nil {
		d.log.Warn("the settings file is unreadable or invalid; the former settings stay in force", zap.Error(err))
	}
	if change != nil {
		d.takeSettings(change.Settings, change.RestartNeeded, node)
	}
	if d.settingsFile.IsSettling() {
		return settingsSettleTime
	}
	return settingsCheckInterval
}

// takeSettings passes changed seeds on to the node, and logs the names of the changed settings
// that the process takes only when it is restarted.
func (d *daemon) takeSettings(changed *schema.Settings, restartNeeded []string, node seedsReceiver) {
	if len(restartNeeded) > 0 {
		d.log.Warn("changed settings take effect when the process is restarted", zap.Strings("settings", restartNeeded))
	}
	if slices.Equal(changed.Seeds, d.settings.Seeds) {
		return
	}
	d.log.Info("the seeds have changed", zap.Strings("seeds", changed.Seeds))
	// A node that restarts with a store that was opened late starts with the new seeds. The
	// running node reads its own settings, so they aren't modified.
	d.settings = proto.Clone(d.settings).(*schema.Settings)
	d.settings.Seeds = changed.Seeds
	node.SetSeeds(changed.Seeds)
}
