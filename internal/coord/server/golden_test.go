package server

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenFrames(t *testing.T) {
	goldentest.Bytes(t, "frames.bin", frame(frame(nil, []byte("one")), []byte("second")))
}
