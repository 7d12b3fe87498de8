package membership

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	// DefaultHeartbeatTimeout tolerates two lost heartbeats.
	DefaultHeartbeatTimeout = 3 * time.Second
	DefaultListInterval     = 2 * time.Minute
	// DefaultContactsPerDomain is the number of instances per other domain that this
	// instance sends heartbeats to: two, so that one failure cuts no domain off.
	DefaultContactsPerDomain = 2
)

const (
	// stepsPerHeartbeat sets how often the state is checked. It bounds the delay
	// of a changed report and the error of the silence time to a quarter beat.
	stepsPerHeartbeat = 4
	// lonelyListPoll is the poll interval while no other instance is live.
	lonelyListPoll = 10 * time.Second
	listTimeout    = 5 * time.Second
	// forgetAfter drops addresses that nothing was heard of. It is longer than
	// the partitions that are expected, so that domains find each other again.
	forgetAfter = time.Hour
	// probesPerBeat bounds the calls per domain and heartbeat to addresses that
	// failed before.
	probesPerBeat = 2
	// maxAddresses bounds the memory; it is far above the size of a deployment.
	maxAddresses = 4096
	// keptRetired is the number of replaced incarnations per address whose late
	// messages are recognised.
	keptRetired = 4
)

// Report is what an instance tells its peers with each heartbeat.
type Report struct {
	Draining         bool   `cbor:"1,keyasint,omitempty" json:"draining"`
	ConfigGeneration uint64 `cbor:"2,keyasint,omitempty" json:"config_generation"`
	// ShardMaps are the versions of the shard maps it knows, by domain.
	ShardMaps map[string]uint64 `cbor:"3,keyasint,omitempty" json:"shard_maps"`
}

// Options configure a Service. Zero values mean the defaults.
type Options struct {
	// Seeds are addresses that are tried forever.
	Seeds []string
	// Lister may be nil. Its list lags, so it only gives addresses to try.
	Lister            kvstore.Lister
	ListInterval      time.Duration
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	ContactsPerDomain int
	// LocalReport returns the report of this instance. It is called several times per
	// heartbeat, must not block and must not call SetDraining. Nil means an empty report.
	LocalReport func() Report
	// OnReport is called after each heartbeat of a peer, also with an unchanged
	// report. It must be quick and safe for concurrent use. It may be nil.
	OnReport func(peer.Identity, Report)
	// Log gets a line when an instance of the own domain comes or goes. It may
	// be nil.
	Log logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	if o.ListInterval == 0 {
		o.ListInterval = DefaultListInterval
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.HeartbeatTimeout == 0 {
		o.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	if o.ContactsPerDomain == 0 {
		o.ContactsPerDomain = DefaultContactsPerDomain
	}
	if o.LocalReport == nil {
		o.LocalReport = func() Report { return Report{} }
	}
	if o.OnReport == nil {
		o.OnReport = func(peer.Identity, Report) {}
	}
	return o
}
