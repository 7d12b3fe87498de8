package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// clientConn is a connection of a client to an entry.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialEntry opens a connection; clients allow one second for it.
func dialEntry(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

var attemptIDs atomic.Uint64

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+attemptIDs.Add(1)) }

// request is a request of a client.
type request struct {
	method, path, tokens, prefix string
	body                         []byte
	deadline                     time.Duration
}

// result is what the client saw.
type result struct {
	id       string
	status   int // 0 without a final answer
	sealed   bool
	retry    time.Duration // Retry-After of the answer
	body     []byte
	err      error // the connection ended or the deadline passed
	sent     time.Time
	duration time.Duration
}

// do sends a request and reads its answer.
func (c *clientConn) do(q request) result {
	res := result{id: newAttemptID(), sent: time.Now()}
	defer func() { res.duration = time.Since(res.sent) }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", q.method, q.path)
	for _, field := range [][2]string{
		{"Host", host}, {machines.HeaderRequestID, res.id}, {machines.HeaderDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10)},
		{"Authorization", machines.KeyScheme + tenantKey}, {machines.HeaderTokens, q.tokens}, {machines.HeaderPrompt, q.prefix},
	} {
		if field[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
		}
	}
	if q.tokens != "" {
		b.WriteString("X-Model-Name: m\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	_ = c.SetDeadline(res.sent.Add(q.deadline)) // fails only on a closed connection
	if _, res.err = c.Write(b.Bytes()); res.err != nil {
		return res
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.sealed = resp.StatusCode, resp.Header.Get(machines.HeaderSeal) != ""
	if after, err := strconv.ParseFloat(resp.Header.Get(machines.HeaderRetryAfter), 64); err == nil {
		res.retry = time.Duration(after * float64(time.Second))
	}
	res.body, res.err = io.ReadAll(resp.Body)
	return res
}

// doOnce sends a request on a new connection.
func doOnce(address string, q request) result {
	c, err := dialEntry(address)
	if err != nil {
		return result{err: err, sent: time.Now()}
	}
	defer func() { _ = c.Close() }()
	return c.do(q)
}
