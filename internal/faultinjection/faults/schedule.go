package faults

import (
	"math/rand/v2"
	"time"
)

// Step is one fault: what, from when, for how long, upon whom. Whom the holder and the leader are is only known then.
type Step struct {
	At, For time.Duration
	Kind    string
	Target  int // a relay or member, by number, where the kind does not say which
	Way     int // of a cut: up or down
}

// The kinds of faults, each as often as it stands here.
var kinds = []string{
	"holder killed", "holder killed", "holder stopped", "holder stopped in an act", "holder stopped in an act", "holder cut one way", "holder cut one way", "holder cut off",
	"relay killed", "relay stopped", "relay cut one way",
	"member killed", "member stopped", "leader killed", "leader stopped", "leader stopped", "member cut one way", "leader cut one way",
	"leader cut off", "all members killed", "slow links", "links reset", "disk full",
}

// Draw draws a schedule from a seed: a fault every second and a half or so, until the end of a run.
func Draw(seed uint64, length time.Duration, members, relays int) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x6661756c7473))
	var list []Step
	for at := time.Second; ; {
		at += time.Duration(rng.Int64N(int64(3 * time.Second)))
		if at >= length {
			return list
		}
		s := Step{
			At: at, For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second))), Kind: kinds[rng.IntN(len(kinds))],
			Target: rng.IntN(members * relays), Way: rng.IntN(2),
		}
		list = append(list, s)
	}
}
