package main

import "sync"

// runConcurrently calls do with each index below count, at most limit calls at a time, and waits for all of them. It returns the error of
// each call by its index.
func runConcurrently(count, limit int, do func(index int) error) []error {
	errs := make([]error, count)
	indices := make(chan int)
	var workers sync.WaitGroup
	for range min(count, limit) {
		workers.Go(func() {
			for index := range indices {
				errs[index] = do(index)
			}
		})
	}
	for index := range count {
		indices <- index
	}
	close(indices)
	workers.Wait()
	return errs
}

// firstError returns the error with the lowest index, or nil.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
