package eventlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against a log that tells each failed use, or not the return.
func TestDependency(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	d := NewDependency(log, "store", "rights")
	for _, err := range []error{nil, errors.New("x"), errors.New("x"), nil, nil, errors.New("x")} {
		d.Record(err)
	}
	lost, regained := strings.Count(out.String(), "dependency lost"), strings.Count(out.String(), "dependency regained")
	if lost != 2 || regained != 1 || !d.IsLost() {
		t.Errorf("%d losses, %d returns, lost now: %t", lost, regained, d.IsLost())
	}
}
