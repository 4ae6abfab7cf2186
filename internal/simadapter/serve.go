package simadapter

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

const (
	// maxLineBytes is the maximum length of an input line; the longest lines are whole endpoint lists.
	maxLineBytes = 64 << 20
	// initialLineBytes is the initial size of the line buffer.
	initialLineBytes = 64 << 10
)

// Serve reads batches from r and writes a reply to each batch to w, until the input ends. If a line of a batch is invalid, Serve returns
// an error and writes no part of the reply.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	out := bufio.NewWriter(w)
	s := newSession()
	for number := 1; in.Scan(); number++ {
		line := in.Bytes()
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		complete, err := s.read(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if !complete {
			continue
		}
		if err := writeReply(out, s.reply()); err != nil {
			return err
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("read batch: %w", err)
	}
	return nil
}

// writeReply writes a reply and flushes it, because the simulator waits for it.
func writeReply(out *bufio.Writer, reply []byte) error {
	if _, err := out.Write(reply); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
