package simadapter

import (
	"strings"
	"testing"
)

const begin = `["begin",0,7,{"categories":[{"aim_s":1,"deadline_s":5,"group":"all","idempotency":"retryable","points":1}],` +
	`"discovery":"automatic","limits":{"max_attempts":4,"max_open":20},"n_instances":1,"quantum_s":0.005,"news":1,` +
	`"shapes":["k"],"specifics":{"max_calls":3,"bundle_max":[1]},"weights":"off"}]`

// serve runs a session with the given input lines, and returns its replies.
func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

func TestServe_Replies(t *testing.T) {
	list := `["manifest",0,[[0,5,"h1",1,"in_service",0,null]]]`
	other := `["manifest",0,[[0,6,"h2",1,"in_service",0,null]]]`
	call := func(id, destination string) string {
		return `["call",0,"` + id + `",false,0,false,false,null,4.5,null,0,` + destination + `]`
	}
	tests := []struct {
		name  string
		lines []string
		want  []string
		never []string
	}{
		{"an empty batch", []string{`["round",1]`, `["your_turn"]`}, []string{`["ready"]`}, nil},
		{"a request is sent", []string{
			`["round",1]`, begin, list, `["update",0,"SAVED",1,0]`, call("m", "5"),
			`["your_turn"]`,
		}, []string{`["relay",0,"m","h1",1.5]`}, nil},
		{
			"a list overwritten in a batch",
			[]string{
				`["round",1]`, begin, list, `["update",0,"SAVED",1,0]`, other,
				`["update",0,"INCREMENTAL",2,0]`, call("m", "5"), call("n", "6"), `["your_turn"]`,
			},
			[]string{`"m","h1"`, `"n","h2"`},
			nil,
		},
		{
			"killed and begun in one batch",
			[]string{
				`["round",1]`, begin, list, `["update",0,"SAVED",1,0]`,
				call("m", "5"), `["killed",0]`, begin, `["update",0,"SAVED",1,0]`, call("n", "5"), `["your_turn"]`,
			},
			[]string{`"n","h1"`},
			[]string{`"m"`},
		},
		{"unknown events and instances", []string{
			`["round",1]`, begin, `["eclipse",0,4]`, `["left",9,"m"]`,
			`["your_turn"]`,
		}, []string{`["ready"]`}, nil},
		{"bad settings", []string{
			`["round",1]`, `["begin",3,7,{"weights":"heavy","discovery":"automatic"}]`,
			`["your_turn"]`,
		}, []string{`["die",3,`, "weights"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, err := serve(t, tt.lines...)
			if err != nil {
				t.Error(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(out, want) {
					t.Errorf("replies lack %s: %s", want, out)
				}
			}
			for _, never := range tt.never {
				if strings.Contains(out, never) {
					t.Errorf("replies contain %s: %s", never, out)
				}
			}
		})
	}
}

func TestServe_MalformedLineEndsTheSession(t *testing.T) {
	for _, bad := range []string{
		`nonsense`, `["round","x"]`, `["answer",0,"m","h",0,"Odd"]`, `["call",0,5]`,
		`["update",0,"FULL",1,9]`, `["begin",0,1,[]]`,
	} {
		t.Run(bad, func(t *testing.T) {
			out, err := serve(t, `["round",1]`, begin, bad, `["your_turn"]`)
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want an error of one line", err)
			}
			if out != "" {
				t.Errorf("part of a reply was written: %q", out)
			}
		})
	}
}

func FuzzServe(f *testing.F) {
	f.Add(begin)
	f.Add(`["answer",0,"m","h",0,"Ok",null,0.1,true,{"x0":1}]`)
	f.Fuzz(func(t *testing.T, line string) {
		_, _ = serve(t, `["round",1]`, line, `["your_turn"]`) // must not panic
	})
}
