package deadletter

import (
	"errors"
	"net/http"
)

// errBadRequest is the error for a request that is malformed, independently of the store's content.
var errBadRequest = errors.New("bad request")

// conflictError says why a command can't be applied to a message in its current state.
type conflictError struct{ error }

// status returns the HTTP status that represents an error.
func status(err error) int {
	conflict := conflictError{}
	switch {
	case errors.Is(err, ErrUnknown):
		return http.StatusNotFound
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.Is(err, ErrFull):
		return http.StatusInsufficientStorage
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
