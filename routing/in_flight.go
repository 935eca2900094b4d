package routing

// InFlight returns the number of this VM's calls in flight at an endpoint.
func (p *Pool) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byID[id]
	if !ok {
		return 0
	}
	return e.inFlight
}
