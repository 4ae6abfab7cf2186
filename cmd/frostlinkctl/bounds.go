package main

import "fmt"

// checkBounds returns an error that names the flag if its value is not between low and high, inclusive.
func checkBounds(flag string, value, low, high int) error {
	if value < low || value > high {
		return fmt.Errorf("--%s: %d is not from %d to %d", flag, value, low, high)
	}
	return nil
}
