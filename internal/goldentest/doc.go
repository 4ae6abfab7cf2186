// Package goldentest compares what a program stores or sends with golden files that an earlier build wrote, so that a stored or wire
// form does not change because a Go name does: a field that is renamed without a tag, or moved, fails the comparison.
//
// The files lie in testdata/golden of the package under test. Running its tests with -update-golden writes them anew, which is right
// only where a page of the project says that the form has changed.
//
// Files:
//
//	files.go  golden files compared, read and written
//	json.go   the JSON forms of types compared
//	fill.go   the values that show every key of a type
package goldentest
