// Package diff compares two texts line by line and formats the changes for people to read.
//
// # Usage
//
//	fmt.Print(diff.Lines(old, new)) // lines start with "- " if removed, "+ " if added, "  " if unchanged
package diff

import "strings"

const (
	contextLines  = 2       // unchanged lines shown before and after a change
	maxTableCells = 4 << 20 // maximum size of the table for the longest common subsequence
)

type diffLine struct {
	mark byte
	text string
}

// Lines returns the lines removed from a and added in b, with up to two unchanged lines before
// and after each change. It returns "" if the texts are equal.
func Lines(a, b string) string {
	if a == b {
		return ""
	}
	return format(compare(splitLines(a), splitLines(b)))
}

func splitLines(s string) []string {
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// compare marks each line as unchanged, removed or added. It first splits off the common lines
// at the start and the end.
func compare(a, b []string) []diffLine {
	var out []diffLine
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		out = append(out, diffLine{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	tail := 0
	for tail < len(a) && tail < len(b) && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	end := a[len(a)-tail:]
	out = append(out, compareLCS(a[:len(a)-tail], b[:len(b)-tail])...)
	return append(out, markLines(' ', end)...)
}

// compareLCS compares the lines by their longest common subsequence. If the table for that
// would be too large, it marks all of a as removed and all of b as added.
func compareLCS(a, b []string) []diffLine {
	if (len(a)+1)*(len(b)+1) > maxTableCells {
		return append(markLines('-', a), markLines('+', b)...)
	}
	longest := lcsTable(a, b)
	var out []diffLine
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, diffLine{' ', a[i]})
			i, j = i+1, j+1
		case longest[i+1][j] >= longest[i][j+1]:
			out = append(out, diffLine{'-', a[i]})
			i++
		default:
			out = append(out, diffLine{'+', b[j]})
			j++
		}
	}
	out = append(out, markLines('-', a[i:])...)
	return append(out, markLines('+', b[j:])...)
}

// lcsTable returns a table whose element [i][j] is the length of the longest common subsequence
// of a[i:] and b[j:].
func lcsTable(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

func markLines(mark byte, list []string) []diffLine {
	out := make([]diffLine, len(list))
	for i, s := range list {
		out[i] = diffLine{mark, s}
	}
	return out
}

// format formats the changed lines and the unchanged lines around them. A line "..." stands for
// omitted lines.
func format(lines []diffLine) string {
	shown := make([]bool, len(lines))
	for i, l := range lines {
		if l.mark == ' ' {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			shown[k] = true
		}
	}
	var b strings.Builder
	for i, l := range lines {
		switch {
		case shown[i]:
			b.WriteByte(l.mark)
			b.WriteByte(' ')
			b.WriteString(l.text)
			b.WriteByte('\n')
		case i > 0 && shown[i-1]:
			b.WriteString("...\n")
		}
	}
	return b.String()
}
