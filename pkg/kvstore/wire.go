package kvstore

// Paths of the protocol; see docs/protocols.md.
const (
	kvPath        = "/v1/kv/"
	leasePath     = "/v1/leases/"
	instancesPath = "/v1/instances"
)

// LeaseRequest is the body of a lease call.
type LeaseRequest struct {
	Holder    string `json:"holder"`
	TTLMillis int64  `json:"ttl_ms"`
}

// LeaseResponse is the answer to a lease call. Holder is set when someone else
// holds the lease.
type LeaseResponse struct {
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token"`
}
