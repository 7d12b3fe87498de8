package kvstore

// Paths of the store's HTTP protocol, which docs/protocols.md describes.
const (
	kvPath        = "/v1/kv/"
	leasePath     = "/v1/leases/"
	instancesPath = "/v1/instances"
)

// LeaseRequest is the body of a request that acquires or renews a lease. TTLMillis
// is in milliseconds.
type LeaseRequest struct {
	Holder    string `json:"holder"`
	TTLMillis int64  `json:"ttl_ms"`
}

// LeaseResponse is the body of the response to a LeaseRequest. Holder is set if
// another holder has the lease; Token is the fencing token.
type LeaseResponse struct {
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token"`
}
