package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// flakyConn is a connection whose calls fail with each of errs in turn, and then succeed. Reads return
// "data". A write that fails has written one byte.
type flakyConn struct {
	net.Conn
	errs    []error
	calls   int
	written bytes.Buffer
}

func (c *flakyConn) nextError() error {
	c.calls++
	if len(c.errs) == 0 {
		return nil
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	return err
}

func (c *flakyConn) Read(b []byte) (int, error) {
	if err := c.nextError(); err != nil {
		return 0, err
	}
	return copy(b, "data"), nil
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if err := c.nextError(); err != nil {
		c.written.Write(b[:1])
		return 1, err
	}
	return c.written.Write(b)
}

func TestRetryConn_RepeatsReadAfterShortage(t *testing.T) {
	for _, test := range []struct {
		name      string
		errs      []error
		want      string
		wantErr   error
		wantCalls int
	}{
		{"no error", nil, "data", nil, 1},
		{"shortage", []error{syscall.ENOMEM, syscall.ENOBUFS}, "data", nil, 3},
		{"reset", []error{syscall.ECONNRESET}, "", syscall.ECONNRESET, 1},
		{"end", []error{io.EOF}, "", io.EOF, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &flakyConn{errs: test.errs}
			b := make([]byte, 10)
			n, err := RetryConn{c}.Read(b)
			if string(b[:n]) != test.want || !errors.Is(err, test.wantErr) || c.calls != test.wantCalls {
				t.Errorf("read %q, err %v, %d calls", b[:n], err, c.calls)
			}
		})
	}
}

// The bytes that a failed write has already written are not written again.
func TestRetryConn_ContinuesWriteAfterShortage(t *testing.T) {
	c := &flakyConn{errs: []error{syscall.ENOBUFS, syscall.ENOBUFS}}
	n, err := RetryConn{c}.Write([]byte("data"))
	if n != 4 || err != nil || c.written.String() != "data" {
		t.Errorf("wrote %d bytes, err %v, peer received %q", n, err, c.written.String())
	}
}

func TestRetryConn_GivesUpAfterLastAttempt(t *testing.T) {
	c := &flakyConn{}
	for range maxIOAttempts + 1 {
		c.errs = append(c.errs, syscall.ENOMEM)
	}
	if _, err := (RetryConn{c}).Read(nil); !errors.Is(err, syscall.ENOMEM) || c.calls != maxIOAttempts {
		t.Errorf("err %v after %d calls", err, c.calls)
	}
}
