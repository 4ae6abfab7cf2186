package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
)

const (
	// maxHeadSize bounds the head of a request, in bytes.
	maxHeadSize = 16 << 10
	// maxHeadFields bounds the number of lines in a head, each of which takes many times its length once it is parsed.
	maxHeadFields = 100
)

// Errors of heads that can't be parsed.
var (
	errHeadTooLarge  = errors.New("request head is too large")
	errMalformedHead = errors.New("malformed request head")
)

// headScanner finds the end of a head in the bytes that have arrived so far, without parsing it. It notices some malformed heads
// before their end.
type headScanner struct {
	scanned int // number of bytes
	lines   int // completed lines
	// The line in progress.
	length    int
	hasColon  bool
	isFolded  bool // it begins with a blank
	endsInCR  bool
	completed bool // the head has ended
}

// scan scans the bytes that have arrived since the last call, and reports whether the head has ended.
func (h *headScanner) scan(b *requestBuffer) (ended bool, err error) {
	for h.scanned < b.size {
		part := b.segment(h.scanned, b.size)
		n, err := h.scanPart(part)
		h.scanned += n
		if err == nil && h.scanned > maxHeadSize {
			err = errHeadTooLarge
		}
		if err == nil && h.lines == 1 && h.length == 0 && h.scanned <= firstChunkSize {
			err = checkRequestLine(b.first[:h.scanned])
		}
		if err != nil || h.completed {
			return h.completed, err
		}
	}
	return false, nil
}

// scanPart scans up to the end of a line, and returns the number of bytes scanned.
func (h *headScanner) scanPart(part []byte) (n int, err error) {
	newline := bytes.IndexByte(part, '\n')
	line := part
	if newline >= 0 {
		line = part[:newline]
	}
	if len(line) > 0 {
		if h.length == 0 {
			h.isFolded = line[0] == ' ' || line[0] == '\t'
		}
		h.length += len(line)
		h.hasColon = h.hasColon || bytes.IndexByte(line, ':') >= 0
		h.endsInCR = line[len(line)-1] == '\r'
	}
	if newline < 0 {
		return len(part), nil
	}
	return newline + 1, h.endLine()
}

// endLine handles the end of a line.
func (h *headScanner) endLine() error {
	empty := h.length == 0 || h.length == 1 && h.endsInCR
	if empty && h.lines > 0 {
		h.completed = true
		return nil
	}
	if empty || h.lines > 0 && !h.hasColon && !h.isFolded {
		return errMalformedHead
	}
	h.lines++
	h.length, h.hasColon, h.isFolded, h.endsInCR = 0, false, false, false
	if h.lines > maxHeadFields {
		return errHeadTooLarge
	}
	return nil
}

// checkRequestLine checks that a request line ends with a version of HTTP (RFC 9112, section 3).
func checkRequestLine(line []byte) error {
	line = bytes.TrimRight(line, "\r\n")
	if version := line[bytes.LastIndexByte(line, ' ')+1:]; !bytes.HasPrefix(version, []byte("HTTP/")) {
		return errMalformedHead
	}
	return nil
}

// headReaders holds readers for parseHead, which is never interrupted.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, chunkSize) }}

// parseHead parses a head of the given length. The body of the returned request must not be read.
func parseHead(b *requestBuffer, length int) (*http.Request, error) {
	in := headReaders.Get().(*bufio.Reader) // the pool holds nothing else
	defer headReaders.Put(in)
	in.Reset(&bufferReader{buffer: b, end: length})
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, fmt.Errorf("parse request head: %w", err)
	}
	r.Body = http.NoBody
	return r, nil
}
