package splice

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a spliced body that passes because of how it was divided into reads, and against data that fails.
func TestBody(t *testing.T) {
	const line = "HTTP/1.1 503 Busy\r\n\r\n"
	for _, tc := range []struct {
		body, after string
		spliced     bool
	}{
		{"whole", "", false}, {"whole", "x", false}, {"whole", line, false}, {"data " + line + " data", "", false}, {"", line, false},
		{"half" + line, "rest", true}, {"half" + line[:5], line[5:], true}, {"half" + line[:1], line[1:], true}, {"half" + line[:11], line[11:], true},
		{"half" + line[:5], "x" + line[5:], false}, {line[:12], "x", true}, {line[:11], line[11:], true},
		{"half" + line[:3], line[3:6], true}, {"half" + line[:9], line[9:10], true}, {"<HT", "ML>", false}, {"half" + line[:3], "", false}, {"H", line, false},
	} {
		for name, divide := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "data with EOF": iotest.DataErrReader} {
			got, err := io.ReadAll(NewBody(io.NopCloser(divide(strings.NewReader(tc.body))), func() []byte { return []byte(tc.after) }))
			if string(got) != tc.body || (err == ErrBody) != tc.spliced || err != nil && err != ErrBody {
				t.Errorf("%s: %q, then %q: %q, %v", name, tc.body, tc.after, got, err)
			}
		}
	}
}

// Guards against a head that is taken for incomplete, or for that of an interim response.
func TestFinalHead(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for received, want := range map[string]string{
		final: final, final + "body\n\n": final, interim + interim + final + "body": final, "HTTP/1.0 204 No\n\nx\r\n\r\n": "HTTP/1.0 204 No\n\n",
		interim: "", interim + final[:len(final)-1]: "", "": "",
	} {
		head, rest, ok := FinalHead([]byte(received))
		if ok != (want != "") || ok && (string(head) != want || !strings.HasSuffix(received, want+string(rest))) {
			t.Errorf("%q: %q, %q, %v", received, head, rest, ok)
		}
	}
}

// Guards against a head with an uncertain end of its body, and against a sound head that is rejected.
func TestCheckHead(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": nil, "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n": nil, "HTTP/1.1 100 Go\r\nContent-Length: 00\r\n\r\n": nil,
		"HTTP/1.0 200 OK\r\nX: transfer-encoding: a\r\n\r\n": nil, "HTTP/1.0 200 OK\ntransfer-ENCODING : chunked\n\n": ErrFraming,
		"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n": ErrFraming, "HTTP/1.1 100 Go\r\ncontent-length: 01\r\n\r\n": ErrFraming,
	} {
		if err := CheckHead([]byte(head)); err != want {
			t.Errorf("%q: %v", head, err)
		}
	}
}
