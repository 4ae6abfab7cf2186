package backoff

import (
	"testing"

	"mallowlead/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
