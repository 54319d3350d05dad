// Package diff compares two texts line by line for people to read.
//
// # Usage
//
//	fmt.Print(diff.Lines(old, new)) // "- " removed, "+ " added, "  " around them
package diff

import "strings"

const (
	around   = 2       // unchanged lines shown before and after a change
	maxCells = 4 << 20 // of the comparison table
)

type line struct {
	mark byte
	text string
}

// Lines returns the changed lines from a to b with some lines around them, or ""
// when the texts are equal.
func Lines(a, b string) string {
	if a == b {
		return ""
	}
	return format(compare(split(a), split(b)))
}

func split(s string) []string {
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// compare marks each line as kept, removed or added.
func compare(a, b []string) []line {
	var out []line
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		out = append(out, line{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	tail := 0
	for tail < len(a) && tail < len(b) && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	end := a[len(a)-tail:]
	out = append(out, middle(a[:len(a)-tail], b[:len(b)-tail])...)
	return append(out, marked(' ', end)...)
}

// middle compares by the longest common subsequence.
func middle(a, b []string) []line {
	if (len(a)+1)*(len(b)+1) > maxCells {
		return append(marked('-', a), marked('+', b)...)
	}
	longest := table(a, b)
	var out []line
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, line{' ', a[i]})
			i, j = i+1, j+1
		case longest[i+1][j] >= longest[i][j+1]:
			out = append(out, line{'-', a[i]})
			i++
		default:
			out = append(out, line{'+', b[j]})
			j++
		}
	}
	out = append(out, marked('-', a[i:])...)
	return append(out, marked('+', b[j:])...)
}

// table holds the length of the longest common subsequence of a[i:] and b[j:].
func table(a, b []string) [][]int {
	longest := make([][]int, len(a)+1)
	for i := range longest {
		longest[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				longest[i][j] = longest[i+1][j+1] + 1
			} else {
				longest[i][j] = max(longest[i+1][j], longest[i][j+1])
			}
		}
	}
	return longest
}

func marked(mark byte, list []string) []line {
	out := make([]line, len(list))
	for i, s := range list {
		out[i] = line{mark, s}
	}
	return out
}

// format writes the changes and the lines around them, with "..." between.
func format(lines []line) string {
	shown := make([]bool, len(lines))
	for i, l := range lines {
		if l.mark == ' ' {
			continue
		}
		for k := max(0, i-around); k <= min(len(lines)-1, i+around); k++ {
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
