package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/platform"
	"github.com/clementinerack/clementinerack/pkg/platform/platformtest"
)

// get serves a read, or a watch when the query names a version.
func (s *Server) get(c iris.Context) {
	watch := c.URLParamExists("after")
	kind := platform.CallGet
	if watch {
		kind = platform.CallWatch
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
func (k *call) record(watch bool) (platform.Record, bool, error) {
	key := k.Params().Get("key")
	if !watch {
		record, err := k.client.Get(k.ctx, key)
		return record, true, err
	}
	after, ok := k.number("after")
	if !ok {
		return platform.Record{}, false, nil
	}
	wait := platformtest.DefaultWatchWait
	if text := k.URLParam("wait"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 {
			k.StatusCode(http.StatusBadRequest)
			return platform.Record{}, false, nil
		}
		wait = parsed
	}
	record, err := k.client.WatchFor(k.ctx, key, after, wait)
	return record, true, err
}

func (s *Server) swap(c iris.Context) {
	k := s.begin(c, platform.CallSwap)
	defer k.cancel()
	expect, ok := k.number("expect")
	if !ok {
		return
	}
	value, ok := k.body(platform.MaxValueBytes)
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
	k := s.begin(c, platform.CallLease)
	defer k.cancel()
	var want platform.LeaseRequest
	if !k.decode(&want) {
		return
	}
	ttl := time.Duration(want.TTLMillis) * time.Millisecond
	lease, err := k.client.AcquireLease(k.ctx, k.Params().Get("name"), want.Holder, ttl)
	switch {
	case failure.Is(err, failure.Conflict):
		k.json(http.StatusConflict, platform.LeaseAnswer{Holder: lease.Holder, Token: lease.Token})
	case err != nil:
		k.fail(err)
	default:
		k.json(http.StatusOK, platform.LeaseAnswer{Token: lease.Token})
	}
}

func (s *Server) release(c iris.Context) {
	k := s.begin(c, platform.CallRelease)
	defer k.cancel()
	k.done(k.client.ReleaseLease(k.ctx, k.Params().Get("name"), k.URLParam("holder")))
}

func (s *Server) list(c iris.Context) {
	k := s.begin(c, platform.CallList)
	defer k.cancel()
	list, err := k.client.Instances(k.ctx, k.URLParam("service"))
	if err != nil {
		k.fail(err)
		return
	}
	k.json(http.StatusOK, list)
}

func (s *Server) register(c iris.Context) {
	k := s.begin(c, platform.CallRegister)
	defer k.cancel()
	var in platform.Instance
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
	k := s.begin(c, platform.CallDeregister)
	defer k.cancel()
	k.done(k.client.Deregister(k.ctx, k.Params().Get("id")))
}

// setFaults rejects unknown fields, so that a misspelt switch is noticed.
func (s *Server) setFaults(c iris.Context) {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil || f.SlowMillis < 0 || f.LagMillis < 0 || f.LoseAnswers < 0 {
		c.StatusCode(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	c.StatusCode(http.StatusNoContent)
}

func (s *Server) getStats(c iris.Context) { _ = c.JSON(s.Stats()) }
