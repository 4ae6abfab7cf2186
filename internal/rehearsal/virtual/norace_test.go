//go:build !race

package virtual

const raced = false
