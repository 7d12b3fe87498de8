package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
)

// get serves a read, or a watch when the query names a version.
func (s *Server) get(c iris.Context) {
	watch := c.URLParamExists("after")
	kind := kvstore.CallGet
	if watch {
		kind = kvstore.CallWatch
	}
	k := s.begin(c, kind)
	defer k.cancel()
	record, ok, err := k.record(watch)
	switch {
	case !ok:
	case err != nil:
		k.fail(err)
	case record.Version == 0:
		k.version(0)
		k.StatusCode(http.StatusNotFound)
	default:
		k.version(record.Version)
		k.countBytes(len(record.Value))
		_, _ = k.Write(record.Value) // a failed write means that the client has left
	}
}

// record reads or watches. It returns false when it has answered the call.
func (k *call) record(watch bool) (kvstore.Record, bool, error) {
	key := k.Params().Get("key")
	if !watch {
		record, err := k.client.Get(k.ctx, key)
		return record, true, err
	}
	after, ok := k.number("after")
	if !ok {
		return kvstore.Record{}, false, nil
	}
	wait := kvstoretest.DefaultWatchWait
	if text := k.URLParam("wait"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 {
			k.StatusCode(http.StatusBadRequest)
			return kvstore.Record{}, false, nil
		}
		wait = parsed
	}
	record, err := k.client.WatchFor(k.ctx, key, after, wait)
	return record, true, err
}

func (s *Server) swap(c iris.Context) {
	k := s.begin(c, kvstore.CallSwap)
	defer k.cancel()
	expect, ok := k.number("expect")
	if !ok {
		return
	}
	value, ok := k.body(kvstore.MaxValueBytes)
	if !ok {
		return
	}
	version, err := k.client.CompareAndSwap(k.ctx, k.Params().Get("key"), expect, value)
	if err == nil || failure.Is(err, failure.Conflict) {
		k.version(version)
	}
	if err != nil {
		k.fail(err)
	}
}

func (s *Server) acquire(c iris.Context) {
	k := s.begin(c, kvstore.CallLease)
	defer k.cancel()
	var want kvstore.LeaseRequest
	if !k.decode(&want) {
		return
	}
	ttl := time.Duration(want.TTLMillis) * time.Millisecond
	lease, err := k.client.AcquireLease(k.ctx, k.Params().Get("name"), want.Holder, ttl)
	switch {
	case failure.Is(err, failure.Conflict):
		k.json(http.StatusConflict, kvstore.LeaseResponse{Holder: lease.Holder, Token: lease.Token})
	case err != nil:
		k.fail(err)
	default:
		k.json(http.StatusOK, kvstore.LeaseResponse{Token: lease.Token})
	}
}

func (s *Server) release(c iris.Context) {
	k := s.begin(c, kvstore.CallRelease)
	defer k.cancel()
	k.done(k.client.ReleaseLease(k.ctx, k.Params().Get("name"), k.URLParam("holder")))
}

func (s *Server) list(c iris.Context) {
	k := s.begin(c, kvstore.CallList)
	defer k.cancel()
	list, err := k.client.Instances(k.ctx, k.URLParam("service"))
	if err != nil {
		k.fail(err)
		return
	}
	k.json(http.StatusOK, list)
}

func (s *Server) register(c iris.Context) {
	k := s.begin(c, kvstore.CallRegister)
	defer k.cancel()
	var in kvstore.Instance
	if !k.decode(&in) {
		return
	}
	if in.ID != k.Params().Get("id") {
		k.StatusCode(http.StatusBadRequest)
		return
	}
	k.done(k.client.Register(k.ctx, in))
}

func (s *Server) deregister(c iris.Context) {
	k := s.begin(c, kvstore.CallDeregister)
	defer k.cancel()
	k.done(k.client.Deregister(k.ctx, k.Params().Get("id")))
}

// setFaults rejects unknown fields, so that a misspelt switch is noticed.
func (s *Server) setFaults(c iris.Context) {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil || f.SlowMillis < 0 || f.ListLagMillis < 0 || f.LoseAnswers < 0 {
		c.StatusCode(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	c.StatusCode(http.StatusNoContent)
}

func (s *Server) getStats(c iris.Context) { _ = c.JSON(s.Stats()) }
