// Package cell counts aligned buddy cells of accelerators. A cell is a power of
// two of accelerators, from one accelerator to a rack: up to a worker it lies
// within one worker, beyond that it is an aligned group of whole workers. A cell
// splits into two halves, and two free halves of one cell join again, so whether
// a set of cells can be formed from a set of free cells is decided by counting
// from the largest size down.
//
// # Usage
//
//	var have, need cell.Counts
//	have.Add(64, 6)
//	need.Add(16, 20)
//	short := need.Short(have) // accelerators of cells that cannot be formed
package cell

import "math/bits"

// Levels is the number of sizes: 1, 2, 4 and so on in accelerators.
const Levels = 16

// Counts is a number of cells of each size; index i counts cells of 1<<i
// accelerators.
type Counts [Levels]int

// Round returns the size of the smallest cell with at least n accelerators; it is
// 0 for n of 0 or less.
func Round(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// Level returns the index in Counts of the smallest cell with at least n
// accelerators, at most Levels - 1.
func Level(n int) int {
	if n <= 1 {
		return 0
	}
	return min(bits.Len(uint(n-1)), Levels-1)
}

// Add adds n cells of the given size, which is rounded up to a whole cell.
func (c *Counts) Add(size, n int) {
	if size > 0 {
		c[Level(size)] += n
	}
}

// AddAccels adds the fewest cells whose sizes sum to n accelerators, times sign.
func (c *Counts) AddAccels(n, sign int) {
	for i := 0; n > 0 && i < Levels; i++ {
		if n&1 == 1 {
			c[i] += sign
		}
		n >>= 1
	}
}

// Sum returns the number of accelerators of all cells.
func (c *Counts) Sum() int {
	sum := 0
	for i, n := range c {
		sum += n << i
	}
	return sum
}

// Short returns the number of accelerators of those cells of c that cannot be
// formed from the cells of have, the largest served first; 0 means that all can.
func (c *Counts) Short(have Counts) int {
	short := c.ShortfallBySize(have)
	return short.Sum()
}

// ShortfallBySize returns the cells of c that cannot be formed from the cells of have,
// the largest served first.
func (c *Counts) ShortfallBySize(have Counts) Counts {
	var short Counts
	free := 0
	for i := Levels - 1; i >= 0; i-- {
		free = 2*free + have[i]
		taken := min(free, c[i])
		short[i] = c[i] - taken
		free -= taken
	}
	return short
}

// Usable returns how many cells of the given size can be formed from c.
func (c *Counts) Usable(size int) int {
	n := 0
	for i := Level(size); i < Levels; i++ {
		n += c[i] << (i - Level(size))
	}
	return n
}

// Take removes one cell of the given size, split from the smallest cell that
// holds it, and reports whether there was one.
func (c *Counts) Take(size int) bool {
	from := Level(size)
	for from < Levels && c[from] == 0 {
		from++
	}
	if from == Levels {
		return false
	}
	c[from]--
	for i := Level(size); i < from; i++ {
		c[i]++
	}
	return true
}

// Blocks adds the maximal aligned cells of a row of workers with accels
// accelerators each, of which free[i] are free, times sign.
func (c *Counts) Blocks(free []int, accels, sign int) {
	if accels&(accels-1) != 0 {
		for _, f := range free {
			c.AddAccels(f, sign)
		}
		return
	}
	for i := 0; i < len(free); {
		run := 0
		for i+run < len(free) && free[i+run] == accels {
			run++
		}
		if run == 0 {
			c.AddAccels(free[i], sign)
			i++
			continue
		}
		end := i + run
		for i < end {
			width := alignedWidth(i, end-i)
			c.Add(width*accels, sign)
			i += width
		}
	}
}

// alignedWidth returns the width of the largest aligned group that starts at position i
// and spans at most n workers.
func alignedWidth(i, n int) int {
	width := 1
	for 2*width <= n && i%(2*width) == 0 {
		width *= 2
	}
	return width
}
