package planner

// Shape is an amount of resources: what a task needs, or what a worker has.
type Shape struct {
	// Cores is in thousandths of a core, Memory in megabytes. Accels is a number of accelerators.
	Cores  int
	Memory int
	Accels int
}

// Add returns the sum of s and o.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.Cores + o.Cores, s.Memory + o.Memory, s.Accels + o.Accels}
}

// Sub returns s minus o.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.Cores - o.Cores, s.Memory - o.Memory, s.Accels - o.Accels}
}

// Times returns n times s.
func (s Shape) Times(n int) Shape { return Shape{s.Cores * n, s.Memory * n, s.Accels * n} }

// Scale returns s times a factor, rounded down in each dimension.
func (s Shape) Scale(factor float64) Shape {
	return Shape{int(float64(s.Cores) * factor), int(float64(s.Memory) * factor), int(float64(s.Accels) * factor)}
}

// Slots returns how many tasks of the given shape fit into s, at most maxSlots.
func (s Shape) Slots(task Shape) int {
	n := limitSlots(maxSlots, s.Accels, task.Accels)
	n = limitSlots(n, s.Cores, task.Cores)
	return limitSlots(n, s.Memory, task.Memory)
}

// limitSlots returns the smaller of n and the number of tasks that one resource allows. It avoids
// the division where it can: divisions are slow, and most nodes are full.
func limitSlots(n, available, perTask int) int {
	switch {
	case perTask <= 0 || n == 0:
		return n
	case available < perTask:
		return 0
	}
	return min(n, available/perTask)
}

// minimum returns the smaller of s and o in each dimension.
func (s Shape) minimum(o Shape) Shape {
	return Shape{min(s.Cores, o.Cores), min(s.Memory, o.Memory), min(s.Accels, o.Accels)}
}

// maximum returns the larger of s and o in each dimension.
func (s Shape) maximum(o Shape) Shape {
	return Shape{max(s.Cores, o.Cores), max(s.Memory, o.Memory), max(s.Accels, o.Accels)}
}

// within reports whether s is at most o in each dimension.
func (s Shape) within(o Shape) bool { return s.minimum(o) == s }
