package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const streamEvents = 8 // in a whole stream of versionedStream

// versionedStream returns a script whose events name the software version that writes them. It
// breaks off after limit events, or never if limit is 0.
func versionedStream(version string, limit int) machines.Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		var body strings.Builder
		after, _ := strconv.Atoi(r.Header.Get(machines.HeaderLastEventID))
		last := streamEvents
		if limit > 0 {
			last = min(last, after+limit)
		}
		for id := after + 1; id <= last; id++ {
			fmt.Fprintf(&body, "id: %d\ndata: by %s\n\n", id, version)
		}
		text := machines.ResponseHead(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", body.Len(), body.String())
		if last == streamEvents {
			text += "0\r\n\r\n"
		}
		_, err := c.Write([]byte(text))
		return err == nil && last == streamEvents
	}
}

// versionedFleet is a fleet with two endpoints of each of the versions v1 and v2.
type versionedFleet struct {
	*fleet
	runners []*machines.Runner
}

func newVersionedFleet(t *testing.T) *versionedFleet {
	f := &versionedFleet{fleet: newFleet(t)}
	f.store.PutConfig(2, machines.ResumableRoute)
	f.store.Remove(machines.ServersPrefix + f.runner.ID)
	for i := range 4 {
		r, err := machines.StartRunner(fmt.Sprint("x", i), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.Version = fmt.Sprint("v", 1+i%2)
		f.runners = append(f.runners, r)
		f.store.PutRunner(r, "z")
	}
	return f
}

// breakAfter has all endpoints break streams off after limit events, or never if it is 0.
func (f *versionedFleet) breakAfter(limit int) {
	for _, r := range f.runners {
		r.SetScript(versionedStream(r.Version, limit))
	}
}

// withdraw removes the registrations of a version.
func (f *versionedFleet) withdraw(version string) {
	for _, r := range f.runners {
		if r.Version == version {
			f.store.Remove(machines.ServersPrefix + r.ID)
		}
	}
}

// takenUp is a stream that a caller takes up until it is whole.
type takenUp struct {
	first    string // ID of the attempt that brought the first event
	events   int
	versions map[string]bool
}

// attempt sends one attempt of a stream to m and returns its status.
func (s *takenUp) attempt(m *member, id string) int {
	status, body, _ := m.sendWith("/"+machines.ResumableRoute+"/1", id, func(h http.Header) {
		h.Set(machines.HeaderTokens, "10,80")
		if s.events > 0 {
			h.Set(machines.HeaderLastEventID, strconv.Itoa(s.events))
			h.Set(machines.HeaderResumes, s.first)
		}
	}) // an interrupted stream is what the tests are about
	for version := range strings.SplitSeq(body, "data: by ") {
		if name, _, ok := strings.Cut(version, "\n"); ok && strings.HasPrefix(name, "v") {
			if s.events == 0 {
				s.first = id
			}
			s.events++
			s.versions[name] = true
		}
	}
	return status
}

// begin has count streams begun at m that break off.
func (f *versionedFleet) begin(m *member, count int) []*takenUp {
	f.t.Helper()
	f.breakAfter(2)
	var streams []*takenUp
	for i := range count {
		s := &takenUp{versions: map[string]bool{}}
		if status := s.attempt(m, fmt.Sprintf("begin-%d", i)); status != 200 || s.events == 0 {
			f.t.Fatalf("stream %d: status %d, %d events", i, status, s.events)
		}
		streams = append(streams, s)
	}
	f.breakAfter(0)
	return streams
}

// takeUp takes streams up at m and returns the number of those that go on.
func (f *versionedFleet) takeUp(m *member, streams []*takenUp) (resumed int) {
	for i, s := range streams {
		before := s.events
		for try := range 3 {
			if s.attempt(m, fmt.Sprintf("take-up-%d-%d", i, try)); s.events > before {
				resumed++
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return resumed
}

// checkVersions reports the streams that two versions wrote.
func (f *versionedFleet) checkVersions(streams []*takenUp) {
	f.t.Helper()
	joined := 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
		}
	}
	if joined > 0 {
		f.t.Errorf("%d of %d streams hold events of two software versions", joined, len(streams))
	}
}

const numStreams = 20 // of each test

// Guards against a stream that another software version goes on with within one answer.
func TestBrokenStreamIsNotJoinedFromTwoVersions(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t)
	streams := f.begin(f.start("a"), numStreams)
	f.checkVersions(streams)
	for _, s := range streams {
		if s.events != 4 {
			t.Errorf("%d events: the stream did not go on at the other endpoint of its version", s.events)
		}
	}
}

// Guards against a stream that its caller takes up at another instance, where another software version goes on with it.
func TestStreamTakenUpElsewhereIsNotJoinedFromTwoVersions(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t)
	a, b := f.start("a"), f.start("b")
	streams := f.begin(a, numStreams)
	resumed := f.takeUp(b, streams)
	f.checkVersions(streams)
	if resumed < numStreams {
		t.Errorf("%d of %d streams went on", resumed, numStreams)
	}
}

// Guards against a stream that two versions write because all instances that knew its version have ended.
func TestStreamTakenUpAfterLossOfAllInstancesIsNotJoinedFromTwoVersions(t *testing.T) {
	for _, withdrawn := range []string{"", "v1", "v2"} {
		t.Run("withdrawn: "+withdrawn, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			a := f.start("a")
			streams := f.begin(a, numStreams)
			time.Sleep(time.Second)
			a.stop()
			err := <-a.done
			a.done <- err // for the cleanup
			if withdrawn != "" {
				f.withdraw(withdrawn)
			}
			resumed := f.takeUp(f.start("b"), streams)
			f.checkVersions(streams)
			if withdrawn == "" && resumed < numStreams {
				t.Errorf("%d of %d streams went on", resumed, numStreams)
			}
		})
	}
}
