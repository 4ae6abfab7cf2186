package deadletter

import (
	"errors"
	"net/http"
)

// conflictError says that a command is not done, with the reason.
type conflictError struct{ error }

// status is the HTTP status of an error.
func status(err error) int {
	refused := conflictError{}
	switch {
	case errors.Is(err, ErrUnknown):
		return http.StatusNotFound
	case errors.As(err, &refused):
		return http.StatusConflict
	case errors.Is(err, ErrFull):
		return http.StatusInsufficientStorage
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

var errBadRequest = errors.New("bad request")
