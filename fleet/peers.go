package fleet

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/heartbeat"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/relay"
	"github.com/chestnutsail/chestnutsail/site"
)

const (
	// leaderCores (processor cores) and leaderLinkSpeed (megabits per second) are what a leader of several
	// hundred workers needs. maxCandidacyDelay is the longest time in milliseconds for which an instance
	// with less waits in an election, so that stronger instances can win it.
	leaderCores       = 0.8
	leaderLinkSpeed   = 200.0
	maxCandidacyDelay = 500 * clock.Millisecond
	// fullStrength is the strength of an instance with what a leader needs.
	fullStrength = 100
	// watchersPerDomain is the number of instances of each failure domain that watch the leader. One of
	// them may fail together with the leader.
	watchersPerDomain = 2
	// noteTime is the time in milliseconds after which the store has shown a configuration that exists: a
	// watch that is answered later was begun after it, and its silence before history is dropped is over.
	noteTime = mirror.DefaultWait + mirror.DefaultTimeout + 3*clock.Second
)

// storedConfig is a configuration as the store holds it.
type storedConfig struct {
	version int64
	value   []byte
}

// notedVersion is a version of the configuration that became known at a time without the configuration.
type notedVersion struct {
	version int64
	at      clock.Millis
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

// newPeerHandler returns the handler for calls that other instances hand on.
func (i *Instance) newPeerHandler(callerOptions platform.JobHandlerOptions) http.Handler {
	return relay.NewHandler(relay.HandlerOptions{
		Calls: func(version int64) http.Handler {
			callerOptions := callerOptions
			callerOptions.Config = version
			return platform.NewJobHandler(callerOptions)
		},
		Config: i.latestConfig,
		OnRefused: func(reason relay.Refusal) {
			i.counters.Counter(`chestnutsail_relay_refused_total{reason="` + string(reason) + `"}`).Inc()
		},
		Log: i.opts.Log,
	})
}

// usableConfig returns the configuration by which calls are answered. It is empty while a newer one is
// known to exist: answering by the older one would go back.
func (i *Instance) usableConfig() *site.Config {
	// The configuration in force is read last, as a newer one may come meanwhile.
	known := i.configVersion()
	if cfg := i.config.Load(); cfg.Version >= known {
		return cfg
	}
	return &site.Config{}
}

// configVersion returns the highest version of the configuration that is known to exist. A version that
// was noted no longer counts once the store has had the time to show it and has not done so: the operators
// may have gone back to a lower one.
func (i *Instance) configVersion() int64 {
	version, noted := i.config.Load().Version, i.notedVersion.Load()
	if noted == nil || noted.version <= version {
		return version
	}
	if confirmedAt := i.clock.Now() - i.configMirror.Age(); confirmedAt > noted.at+noteTime {
		return version
	}
	return noted.version
}

// noteConfigVersion notes that a version of the configuration exists. Unless it is in force here, calls are
// not answered by the older one from now on.
func (i *Instance) noteConfigVersion(version int64) {
	next := &notedVersion{version, i.clock.Now()}
	for {
		noted := i.notedVersion.Load()
		if noted != nil && noted.version >= version || i.notedVersion.CompareAndSwap(noted, next) {
			return
		}
	}
}

// configMayBeOutdated reports whether a newer configuration may be in force, unnoticed by this instance,
// for longer than the installation allows.
func (i *Instance) configMayBeOutdated() bool {
	limit := i.bounds.Load().ConfigTime
	return !i.storeHealth.OK() || (limit > 0 && i.configMirror.Age() > limit)
}

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
	i.noteConfigVersion(version)
	if raw != nil {
		i.applyConfig([]kv.Entry{{Key: platform.ConfigKey, Value: raw}})
	}
}

// strength returns from 0 to fullStrength how well an instance is suited to lead. The leader sends
// the orders to all workers of the installation and polls them, which needs processor time and
// network bandwidth.
func strength(s platform.Settings) int {
	return int(fullStrength * min(s.Cores/leaderCores, s.LinkSpeed/leaderLinkSpeed, 1))
}

// candidacyDelay returns how long in milliseconds this instance waits before it stands in an
// election. The delay is longer the weaker it is than the strongest of the others.
func (i *Instance) candidacyDelay() clock.Millis {
	own := strength(i.opts.Settings)
	strongest := own
	for _, other := range i.roster.Others() {
		strongest = max(strongest, other.Strength)
	}
	return maxCandidacyDelay * clock.Millis(strongest-own) / fullStrength
}

// leader returns the leader if it is another instance whose address is known.
func (i *Instance) leader() (heartbeat.Leader, bool) {
	value, term := i.board.Leader()
	name, lease, ok := election.ParseHolder(value)
	if !ok || name == i.opts.Settings.Name {
		return heartbeat.Leader{}, false
	}
	instance, ok := i.roster.Find(name)
	return heartbeat.Leader{Address: instance.Address, Term: term, Lease: lease}, ok
}

// watchesLeader reports whether this instance is one of those of its failure domain that watch the
// leader: those with the lowest addresses.
func (i *Instance) watchesLeader() bool {
	leader, _ := i.leader()
	before := 0
	for _, other := range i.roster.Others() {
		if other.Domain == i.opts.Settings.Domain && other.Address != leader.Address && other.Address < i.peerAddress() {
			before++
		}
	}
	return i.peerAddress() != "" && before < watchersPerDomain
}

// depose ends the lease of a leader that has failed, so that another one can be elected at once.
func (i *Instance) depose(l heartbeat.Leader) {
	log := i.opts.Log.WithField("term", l.Term)
	i.counters.Counter("chestnutsail_leaders_deposed_total").Inc()
	if err := i.election.Depose(context.Background(), l.Lease); err != nil {
		log.WithError(err).Warn("election: the lease of a failed leader was not ended; it expires")
		return
	}
	log.Info("election: lease of a failed leader ended")
}
