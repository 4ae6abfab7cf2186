package server

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestFrameForm_IsUnchanged(t *testing.T) {
	goldentest.Bytes(t, "frames.bin", appendFrame(appendFrame(nil, []byte("one")), []byte("second")))
}
