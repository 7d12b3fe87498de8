package kvstoretest

import (
	"encoding/json"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// state is what a platform keeps when its process is restarted.
type state struct {
	Records   map[string]kvstore.Record `json:"records"`
	Leases    map[string]leaseState     `json:"leases"`
	Instances []kvstore.Instance        `json:"instances"`
}

type leaseState struct {
	Holder  string    `json:"holder"`
	Token   uint64    `json:"token"`
	Expires time.Time `json:"expires"`
}

// Save returns the contents of the store for Load. Switches, counts and delayed
// swaps are not part of it.
func (f *Fake) Save() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := state{f.records, map[string]leaseState{}, f.listLocked("")}
	for name, l := range f.leases {
		s.Leases[name] = leaseState{l.holder, l.token, l.expires}
	}
	return json.Marshal(s)
}

// Load replaces the contents of the store by what Save returned.
func (f *Fake) Load(data []byte) error {
	s := state{Records: map[string]kvstore.Record{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	f.set(func() {
		f.records, f.instances, f.leases = s.Records, map[string]kvstore.Instance{}, map[string]heldLease{}
		for _, i := range s.Instances {
			f.instances[i.ID] = i
		}
		for name, l := range s.Leases {
			f.leases[name] = heldLease{l.Holder, l.Token, l.Expires}
		}
	})
	return nil
}
