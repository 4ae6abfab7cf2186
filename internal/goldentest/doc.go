// Package goldentest compares what a program stores or sends with golden files that an earlier build wrote, so that renaming a Go
// identifier does not silently change a stored format or a wire format: a field that is renamed without a tag, or moved, fails the
// comparison.
//
// The golden files are in testdata/golden of the package under test. Running the package's tests with -update-golden rewrites them. Do
// that only if the project's documentation says that the format has changed.
//
// Files:
//
//	files.go  compares, reads and writes golden files
//	json.go   compares the JSON encodings of types
//	fill.go   fills a value so that every key of its type is encoded
package goldentest
