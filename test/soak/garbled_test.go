package soak

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// garbledShare is the share of the answers that faulty runners garble.
	garbledShare = 0.3
	errorHead    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	formerAnswer = "HTTP/1.1 200 OK\r\n" + machines.HeaderRequestID + ": former\r\n" + machines.HeaderSeal + ": former\r\nContent-Length: 6\r\n\r\nformer"
	refusal      = "HTTP/1.1 503 Service Unavailable\r\n" + machines.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
)

// errBrokenOff ends the connection after an answer that was broken off.
var errBrokenOff = errors.New("the answer was broken off")

// garbler garbles answers of runners.
type garbler struct {
	cluster *testCluster
	used    sync.Map // connections that have carried a request
}

// wrap returns a connection that garbles the next answer to r, or c if none is to be garbled.
// accepted is the connection on which r arrived.
func (g *garbler) wrap(r *http.Request, accepted, c net.Conn, faulty bool) net.Conn {
	_, reused := g.used.LoadOrStore(accepted, nil)
	if !faulty || g.cluster.randFloat() > garbledShare {
		return c
	}
	return &garbledConn{Conn: c, garbler: g, request: r, reused: reused}
}

// garbledConn garbles the answer that is written with the first call of Write.
type garbledConn struct {
	net.Conn
	garbler *garbler
	request *http.Request
	reused  bool
	written bool
}

func (c *garbledConn) Write(p []byte) (int, error) {
	if c.written {
		return c.Conn.Write(p)
	}
	c.written = true
	answer, broken := c.garble(p)
	if _, err := c.Conn.Write(answer); err != nil || broken {
		return 0, errors.Join(err, errBrokenOff)
	}
	return len(p), nil
}

// garble returns what a faulty runner writes in place of answer, and whether it breaks off.
func (c *garbledConn) garble(answer []byte) (garbled []byte, broken bool) {
	draw := c.garbler.cluster.randInt
	cut := func(b []byte) []byte { return b[:draw(len(b))] }
	head := answer[:bytes.Index(answer, []byte("\r\n\r\n"))+2]
	switch kind := draw(6); {
	case kind == 0 && c.reused: // an earlier refusal once more
		return append([]byte(refusal), answer...), false
	case kind == 1 && c.reused: // an earlier answer that breaks off
		return append(cut([]byte(formerAnswer)), answer...), false
	case kind == 2 && c.request.Header.Get(machines.HeaderLastEventID) != "": // an error in place of the rest of a stream
		status := []int{200, 204, 206, 404, 500, 503}[draw(6)]
		return []byte(machines.ResponseHead(c.request, status, "Content-Length: 12") + "it is gone\n\n"), true
	case kind == 3:
		return append(bytes.Clone(cut(answer)), errorHead...), true
	case kind == 4:
		return append(bytes.Clone(answer), refusal...), false
	default:
		return cut(head), true
	}
}
