package routing

// InFlight returns how many calls this VM has at an endpoint.
func (p *Pool) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byID[id]
	if !ok {
		return 0
	}
	return e.inFlight
}
