package kvstoretest

import (
	"encoding/json"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// savedState is the JSON form of the contents that survive a restart of the platform.
type savedState struct {
	Records   map[string]kvstore.Record `json:"records"`
	Leases    map[string]savedLease     `json:"leases"`
	Instances []kvstore.Instance        `json:"instances"`
}

// savedLease is the JSON form of a leaseRecord.
type savedLease struct {
	Holder  string    `json:"holder"`
	Token   uint64    `json:"token"`
	Expires time.Time `json:"expires"`
}

// Save returns the contents of the store in the form that Load reads. Faults, call
// counters and delayed swaps are not included.
func (f *Fake) Save() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := savedState{f.records, map[string]savedLease{}, f.listLocked("")}
	for name, l := range f.leases {
		s.Leases[name] = savedLease{l.holder, l.token, l.expires}
	}
	return json.Marshal(s)
}

// Load replaces the contents of the store with data, which Save returned.
func (f *Fake) Load(data []byte) error {
	s := savedState{Records: map[string]kvstore.Record{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	f.update(func() {
		f.records, f.instances, f.leases = s.Records, map[string]kvstore.Instance{}, map[string]leaseRecord{}
		for _, instance := range s.Instances {
			f.instances[instance.ID] = instance
		}
		for name, l := range s.Leases {
			f.leases[name] = leaseRecord{l.Holder, l.Token, l.Expires}
		}
	})
	return nil
}
