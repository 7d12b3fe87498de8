package upstream

// CloseIdleExcept closes the idle connections to all addresses but those in keep. It returns
// how many there were. Connections in use become idle when their request ends.
func (c *Client) CloseIdleExcept(keep map[string]bool) (closed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		if keep[address] {
			continue
		}
		for _, cn := range list {
			_ = cn.Close()
		}
		closed += len(list)
		delete(c.idle, address)
	}
	return closed
}
