package strictconfig

import "fmt"

// maxDistance is the edit distance up to which a known key is suggested for an unknown one.
const maxDistance = 2

// suggestion returns ` (meant "NAME"?)` with the known name that is nearest to an unknown key, or "" if no name is within maxDistance.
func suggestion(key string, names []string) string {
	nearest, least := "", maxDistance+1
	for _, name := range names {
		// A distance of len(name) or more means that nothing of the name matches. Without this condition, names of one or two letters would
		// be suggested for unrelated short keys.
		if d := editDistance(key, name); d < least && d < len(name) {
			nearest, least = name, d
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf(" (meant %q?)", nearest)
}

// editDistance returns the Levenshtein distance of two short strings, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1) // a row of the distance table: row[j] is the distance between a[:i] and b[:j]
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, substitute)
		}
	}
	return row[len(b)]
}
