package fleet

import (
	"net"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/site"
)

// storedConfig is a configuration as the store holds it.
type storedConfig struct {
	version int64
	value   []byte
}

// peerAddress returns the address at which other instances reach this one, or "" if the settings
// leave no port for that beside the one for metrics. The instance then neither registers nor takes
// calls of others.
func (i *Instance) peerAddress() string {
	s := i.opts.Settings
	if s.Ports[0] == 0 || s.Ports[0] == i.opts.Metrics {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]))
}

// usableConfig returns the configuration by which calls are answered. It is empty while another
// instance is known to have a newer one: answering by the older one would go back.
func (i *Instance) usableConfig() *site.Config {
	if cfg := i.config.Load(); cfg.Version >= i.newestVersion.Load() {
		return cfg
	}
	return &site.Config{}
}

func (i *Instance) configVersion() int64 { return max(i.config.Load().Version, i.newestVersion.Load()) }

// latestConfig returns the version of the configuration and its value in the store.
func (i *Instance) latestConfig() (int64, []byte) {
	stored := i.storedConfig.Load()
	if stored == nil {
		return 0, nil
	}
	return stored.version, stored.value
}

// adoptConfig puts the configuration of another instance into force; raw is nil if it could not be
// read.
func (i *Instance) adoptConfig(version int64, raw []byte) {
	i.opts.Log.WithFields(logrus.Fields{"version": version, "bytes": len(raw)}).Info("config: another instance knows a newer configuration")
	for seen := i.newestVersion.Load(); version > seen && !i.newestVersion.CompareAndSwap(seen, version); {
		seen = i.newestVersion.Load()
	}
	if raw != nil {
		i.applyConfig([]kv.Entry{{Key: platform.ConfigKey, Value: raw}})
	}
}
