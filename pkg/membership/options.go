package membership

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Defaults of Options.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats of a pair.
	DefaultHeartbeatInterval = time.Second
	// DefaultHeartbeatTimeout tolerates two lost heartbeats.
	DefaultHeartbeatTimeout = 3 * time.Second
	// DefaultListInterval is the time between two reads of the platform's list.
	DefaultListInterval = 2 * time.Minute
	// DefaultContactsPerDomain is 2, so that the failure of one contact does
	// not disconnect a domain.
	DefaultContactsPerDomain = 2
)

const (
	// ticksPerHeartbeat sets how often the state is checked. It bounds the
	// delay of a changed report and the error of the heartbeat timeout to a
	// quarter of the heartbeat interval.
	ticksPerHeartbeat = 4
	// isolatedListInterval is the poll interval while no other instance is
	// live.
	isolatedListInterval = 10 * time.Second
	listTimeout          = 5 * time.Second
	// addressTTL is how long an address is kept that no source names and no
	// heartbeat arrives from. It is longer than the expected partitions, so
	// that domains find each other again.
	addressTTL = time.Hour
	// maxRetriesPerHeartbeat bounds the calls per domain and heartbeat interval
	// to addresses whose last call failed.
	maxRetriesPerHeartbeat = 2
	// maxAddresses bounds the memory; it is far above the size of a deployment.
	maxAddresses = 4096
	// maxRetired bounds the replaced incarnations per address whose delayed
	// messages are recognised.
	maxRetired = 4
)

// Report is the state that an instance sends to its peers with its heartbeats.
type Report struct {
	Draining         bool   `cbor:"1,keyasint,omitempty" json:"draining"`
	ConfigGeneration uint64 `cbor:"2,keyasint,omitempty" json:"config_generation"`
	// ShardMaps holds the versions of the shard maps that the instance has, by
	// domain.
	ShardMaps map[string]uint64 `cbor:"3,keyasint,omitempty" json:"shard_maps"`
}

// Options configures a Service. Zero values select the defaults.
type Options struct {
	// Seeds are addresses that are retried without end.
	Seeds []string
	// Lister reads the platform's list of instances and may be nil. The list
	// lags, so it is only a source of addresses.
	Lister kvstore.Lister
	// ListInterval is the time between two reads of Lister while another
	// instance is live.
	ListInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats of a pair of instances.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which an instance is
	// no longer live. It also bounds a heartbeat call.
	HeartbeatTimeout time.Duration
	// ContactsPerDomain is the number of instances of each other domain that this
	// instance sends heartbeats to.
	ContactsPerDomain int
	// LocalReport returns the report of this instance. It is called several
	// times per heartbeat interval, must not block and must not call
	// SetDraining. Nil means an empty report.
	LocalReport func() Report
	// OnReport is called after each heartbeat of a peer, even if the report is
	// unchanged. It must not block and must be safe for concurrent use. It may
	// be nil.
	OnReport func(peer.Identity, Report)
	// Log receives a line when an instance of the local domain becomes live or
	// times out. It may be nil.
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
