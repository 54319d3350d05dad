// Package cell counts aligned buddy cells of accelerators. The size of a cell is a
// power of two, from one accelerator up to a rack. A cell of at most the size of a
// worker lies within one worker; a larger one is an aligned group of whole workers. A
// cell splits into two halves, and the two free halves of a cell merge again. Whether a
// set of cells can be formed from a set of free cells therefore follows from the numbers
// of cells of each size, compared from the largest size down.
//
// # Usage
//
//	var have, need cell.Counts
//	have.Add(64, 6)
//	need.Add(16, 20)
//	short := need.Shortfall(have) // accelerators of cells that cannot be formed
package cell

import "math/bits"

// Levels is the number of cell sizes: 1, 2, 4 and so on, in accelerators.
const Levels = 16

// Counts is a number of cells of each size. Index i counts cells of 1<<i accelerators.
type Counts [Levels]int

// RoundUp returns the size of the smallest cell with at least n accelerators, or 0 if n
// is 0 or less.
func RoundUp(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// Level returns the index in Counts of the smallest cell with at least n accelerators.
// It is at most Levels - 1.
func Level(n int) int {
	if n <= 1 {
		return 0
	}
	return min(bits.Len(uint(n-1)), Levels-1)
}

// Add adds n cells of the given size in accelerators, which is rounded up to the size
// of a cell. n may be negative.
func (c *Counts) Add(size, n int) {
	if size > 0 {
		c[Level(size)] += n
	}
}

// AddAccels adds the smallest number of cells whose sizes add up to n accelerators,
// factor times. A negative factor subtracts them.
func (c *Counts) AddAccels(n, factor int) {
	for i := 0; n > 0 && i < Levels; i++ {
		if n&1 == 1 {
			c[i] += factor
		}
		n >>= 1
	}
}

// Sum returns the number of accelerators in all cells.
func (c *Counts) Sum() int {
	sum := 0
	for i, n := range c {
		sum += n << i
	}
	return sum
}

// Shortfall returns the number of accelerators in those cells of c that cannot be formed
// from the cells of have; 0 means that all can be formed. The largest cells are formed
// first.
func (c *Counts) Shortfall(have Counts) int {
	short := c.ShortfallBySize(have)
	return short.Sum()
}

// ShortfallBySize returns the cells of c that cannot be formed from the cells of have.
// The largest cells are formed first.
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

// Formable returns how many cells of the given size can be formed from c.
func (c *Counts) Formable(size int) int {
	n := 0
	for i := Level(size); i < Levels; i++ {
		n += c[i] << (i - Level(size))
	}
	return n
}

// Take removes one cell of the given size, and reports false if there is none. The cell
// is split off the smallest cell that contains it.
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

// AddMaximal adds, factor times, the largest aligned cells that can be formed in a row of
// workers with accels accelerators each, of which free[i] are free on worker i. A
// negative factor subtracts them. If accels is not a power of two, no cell extends
// beyond one worker.
func (c *Counts) AddMaximal(free []int, accels, factor int) {
	if accels&(accels-1) != 0 {
		for _, f := range free {
			c.AddAccels(f, factor)
		}
		return
	}
	for i := 0; i < len(free); {
		run := 0
		for i+run < len(free) && free[i+run] == accels {
			run++
		}
		if run == 0 {
			c.AddAccels(free[i], factor)
			i++
			continue
		}
		end := i + run
		for i < end {
			width := alignedWidth(i, end-i)
			c.Add(width*accels, factor)
			i += width
		}
	}
}

// alignedWidth returns the number of workers in the largest aligned group that starts
// at position i and contains at most n workers.
func alignedWidth(i, n int) int {
	width := 1
	for 2*width <= n && i%(2*width) == 0 {
		width *= 2
	}
	return width
}
