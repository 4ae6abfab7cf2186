package peers

import (
	"context"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mallowlead/internal/seeded"
	"mallowlead/internal/wait/waittest"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Whatever notes are lost, doubled or come late, a relay counts as away only while one that it sent so holds, and as here
// once any note of its return has come, or that time is over.
func TestTableUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		table, speaker := NewTable("me", 2), NewSpeaker("other")
		now, state := start, Here
		var flying []Note
		var heardAt int64 // of the newest note that came
		var heardAway time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "turn") == 0 {
				state = State(rapid.IntRange(0, 2).Draw(t, "state"))
			}
			if n, _ := speaker.Say(now, state); n != nil {
				if (n.AwayMS > 0) != (state != Here) {
					t.Fatalf("in state %d it says %+v", state, n)
				}
				flying = append(flying, *n)
			}
			if len(flying) > 0 && rapid.Bool().Draw(t, "comes") {
				i := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
				n := flying[i]
				if rapid.Bool().Draw(t, "once") {
					flying = append(flying[:i], flying[i+1:]...)
				}
				table.Hear(now, n)
				if n.At > heardAt {
					heardAt, heardAway = n.At, time.Time{}
					if n.AwayMS > 0 {
						heardAway = now.Add(time.Duration(n.AwayMS) * time.Millisecond)
					}
				}
			}
			want := 2
			if now.Before(heardAway) {
				want = 1
			}
			if got := table.Present(now); got != want {
				t.Fatalf("%d present, want %d", got, want)
			}
			if at := table.Next(now); (want == 1) != at.Equal(heardAway) && want == 1 {
				t.Fatalf("it changes at %v, want %v", at, heardAway)
			}
		}
	})
}

// Notes of this relay itself, of more relays than there are, and of one that has gone for good change nothing for good.
func TestTableBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("me", 3)
	for _, name := range []string{"me", "a", "b", "c", "d"} {
		table.Hear(now, Note{Version, name, 1, 1000})
	}
	if got := table.Present(now); got != 1 {
		t.Errorf("%d present, want 1: two others are away", got)
	}
	if got := table.Present(now.Add(time.Second)); got != 3 {
		t.Errorf("%d present once the notes hold no more", got)
	}
}

// A relay that is here says so a few times after its start and after each return, and is silent then.
func TestSilentWhileHere(t *testing.T) {
	s := NewSpeaker("me")
	now := time.Unix(1000, 0)
	say := func(state State) (n int) {
		for range 100 {
			now = now.Add(look)
			if note, _ := s.Say(now, state); note != nil {
				n++
			}
		}
		return n
	}
	if a, b, c := say(Here), say(Away), say(Here); a != hereTimes || b < 10 || c != hereTimes {
		t.Errorf("%d notes at the start, %d in 5 s away, %d after", a, b, c)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Note{Version, "n1", 5, 1200}.Encode())
	f.Add([]byte(`{"v":1,"n":"","a":-1}`))
	f.Add([]byte(`{"v":2,"n":"n1"}`))
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(n.Encode()); err != nil || again != n {
			t.Errorf("%+v comes back as %+v, %v", n, again, err)
		}
	})
}

// Two relays on loopback: each hears of the other's leaving and return.
func TestOnSockets(t *testing.T) {
	free := func() string {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	a, b := free(), free()
	states := make(chan State, 1)
	state := Here
	heard := make(chan int, 10)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool, 2)
	go func() {
		Run(ctx, Config{"a", 2, a, []string{b}}, func() State {
			select {
			case state = <-states:
			default:
			}
			return state
		}, func(int, int) {})
		done <- true
	}()
	go func() {
		Run(ctx, Config{"b", 2, b, []string{a, b}}, func() State { return Here }, func(now, _ int) { heard <- now })
		done <- true
	}()
	for _, step := range []struct {
		say  State
		want int
	}{{Away, 1}, {Here, 2}, {Ending, 1}} {
		states <- step.say
		if got := waittest.Receive(t, heard); got != step.want {
			t.Errorf("%d present, want %d", got, step.want)
		}
	}
	stop()
	waittest.Receive(t, done)
	waittest.Receive(t, done)
}
