package fleet

import (
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/evacuation"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
)

// followOperator follows what the operators write into the store: the configuration and, where they may make
// them, the requests to evacuate failure domains. One watch serves both.
func (i *Instance) followOperator(store *platform.Store) {
	opts := mirror.Options{
		Store: store, Prefix: platform.ConfigKey, Clock: i.clock, Log: i.opts.Log,
		Replace: i.replaceOperatorKeys, Apply: i.applyOperatorChanges,
	}
	if i.bounds.Load().EvacuationTime > 0 {
		opts.Prefix, opts.Wait = platform.OperatorPrefix, min(mirror.DefaultWait, i.maxEvacuationAge()/2)
		i.evacuations = evacuation.New(evacuation.Options{
			Age: func() clock.Millis { return i.configMirror.Age() }, MaxAge: i.maxEvacuationAge, Clock: i.clock, Log: i.opts.Log,
		})
	}
	i.configMirror = mirror.New(opts)
	i.counters.Gauge("chestnutsail_config_version", func() float64 { return float64(i.config.Load().Version) })
	i.counters.Gauge("chestnutsail_config_known_version", func() float64 { return float64(i.configVersion()) })
	i.counters.Gauge("chestnutsail_config_age_seconds", func() float64 { return float64(i.configMirror.Age()) / float64(clock.Second) })
}

// maxEvacuationAge returns the greatest age in milliseconds at which the requests to evacuate failure domains
// may be relied on.
func (i *Instance) maxEvacuationAge() clock.Millis {
	return evacuation.MaxAge(i.bounds.Load().EvacuationTime)
}

func (i *Instance) replaceOperatorKeys(entries []kv.Entry) {
	i.applyConfig(entries)
	var evacuated []string
	for _, e := range entries {
		if domain, ok := strings.CutPrefix(e.Key, platform.EvacuationPrefix); ok {
			evacuated = append(evacuated, domain)
		}
	}
	i.evacuations.Replace(evacuated)
}

func (i *Instance) applyOperatorChanges(changes []kv.Change) {
	for _, c := range changes {
		if domain, ok := strings.CutPrefix(c.Key, platform.EvacuationPrefix); ok {
			i.evacuations.Set(domain, !c.Deleted)
		} else if !c.Deleted {
			i.applyConfig([]kv.Entry{c.Entry})
		}
	}
}
