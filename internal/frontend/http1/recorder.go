package http1

import "io"

// maxRecorderCapacity bounds the buffer, in bytes, that is reused for the next request. That of a
// larger request is freed.
const maxRecorderCapacity = 4 << 10

// recorder records what was read of a request that has begun: the parser does not give it back, and
// a successor process has to read it again. Nor does it give back why a line ended early: a part of
// a line that came before an error is a malformed line to it.
type recorder struct {
	from io.Reader
	read []byte
	err  error // of the last reading; nil: it brought something
}

// reset drops what was recorded: a request is about to begin, or was read to its end.
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
