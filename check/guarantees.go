package check

// guarantees reports guarantees that the fleet can't form at the same time.
func (c *checker) guarantees() {}
