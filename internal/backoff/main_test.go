package backoff

import (
	"testing"

	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
