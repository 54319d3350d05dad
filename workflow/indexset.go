package workflow

// IndexSet is a set of indices of tasks, with a bit for each. The zero value is empty.
type IndexSet []byte

const byteBits = 8

// Has reports whether the set has an index.
func (s IndexSet) Has(index int) bool {
	return index/byteBits < len(s) && s[index/byteBits]&(1<<(index%byteBits)) != 0
}

// Add adds an index.
func (s *IndexSet) Add(index int) {
	for len(*s) <= index/byteBits {
		*s = append(*s, 0)
	}
	(*s)[index/byteBits] |= 1 << (index % byteBits)
}

// Indices returns the indices in ascending order.
func (s IndexSet) Indices() []int {
	var list []int
	for i := range byteBits * len(s) {
		if s.Has(i) {
			list = append(list, i)
		}
	}
	return list
}
