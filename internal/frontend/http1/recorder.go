package http1

import "io"

// maxRecorderCapacity bounds the buffer, in bytes, that is kept for the next request. A larger
// buffer is freed.
const maxRecorderCapacity = 4 << 10

// recorder records the bytes that were read of a request in progress and the error of the last read,
// since the HTTP parser returns neither. A successor process needs the bytes to parse the request
// again. The error is needed because the parser treats the part of a line that arrives before a read
// error as a whole line, and reports that the line is malformed.
type recorder struct {
	from io.Reader
	read []byte
	err  error // of the last read; nil: the read succeeded
}

// reset drops the record before a request and after a request that was read completely.
func (r *recorder) reset() {
	r.err = nil
	if r.read = r.read[:0]; cap(r.read) > maxRecorderCapacity {
		r.read = nil
	}
}

func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read, r.err = append(r.read, p[:n]...), err
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}
