package relay

import (
	"testing"

	"mallowlead/internal/goldentest"
	"mallowlead/policy"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "state", Value: &inheritance{}}, goldentest.Form{Name: "memory", Value: &policy.Memory{}},
		goldentest.Form{Name: "configuration", Value: &Config{}})
}
