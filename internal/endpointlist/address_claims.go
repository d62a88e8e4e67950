package endpointlist

import "slices"

// AddressClaims finds the hosts of which a list does not say yet that they are gone: those at whose
// address a newer process is listed. An address belongs to one process, so what is sent to the older
// one would reach the newer one, and count as sent to another host, zone or cell.
//
// The newest process at an address is the one with the latest BornMs. Hosts with the same BornMs are
// all kept. If the newest one leaves the list, the next one counts again, as the clocks of two
// machines may differ.
type AddressClaims struct {
	hosts     map[string]*Host    // all that are listed and not gone, by name
	byAddress map[string][]string // their names, by address
	replaced  map[string]bool     // the names of those at whose address a newer process is listed
}

// NewAddressClaims returns the claims of an empty list.
func NewAddressClaims() *AddressClaims {
	return &AddressClaims{hosts: map[string]*Host{}, byAddress: map[string][]string{}, replaced: map[string]bool{}}
}

// reset removes all hosts. The maps keep their memory for the next ones.
func (c *AddressClaims) reset() {
	clear(c.hosts)
	clear(c.byAddress)
	clear(c.replaced)
}

// Resolve applies a list, or a change of it if whole is false. It returns the hosts of the list, of
// which those are gone whose address belongs to a newer process, and behind them the other listed
// hosts that are gone for the same reason from now on, or no longer. The caller must not change the
// hosts of the list afterwards.
func (c *AddressClaims) Resolve(list *List, whole bool) []Host {
	if whole {
		c.reset()
	}
	var changed []string // the names of the hosts that are replaced from now on, or no longer
	for _, address := range c.update(list.Hosts) {
		changed = c.compare(address, changed)
	}
	if len(changed) == 0 && len(c.replaced) == 0 {
		return list.Hosts
	}
	listed := make(map[string]bool, len(list.Hosts))
	resolved := make([]Host, 0, len(list.Hosts)+len(changed))
	for i := range list.Hosts {
		listed[list.Hosts[i].Host] = true
		resolved = append(resolved, c.resolved(list.Hosts[i]))
	}
	for _, name := range changed {
		if !listed[name] {
			resolved = append(resolved, c.resolved(*c.hosts[name]))
		}
	}
	return resolved
}

// update applies the hosts of a list, and returns the addresses that some of them have or had.
func (c *AddressClaims) update(hosts []Host) (addresses []string) {
	for i := range hosts {
		host := &hosts[i]
		if previous, known := c.hosts[host.Host]; known {
			c.remove(previous)
			addresses = append(addresses, previous.Dial)
		}
		if host.Health == healthGone {
			continue
		}
		c.hosts[host.Host] = host
		c.byAddress[host.Dial] = append(c.byAddress[host.Dial], host.Host)
		addresses = append(addresses, host.Dial)
	}
	return addresses
}

// remove removes a host.
func (c *AddressClaims) remove(host *Host) {
	delete(c.hosts, host.Host)
	delete(c.replaced, host.Host)
	names := slices.DeleteFunc(c.byAddress[host.Dial], func(name string) bool { return name == host.Host })
	if c.byAddress[host.Dial] = names; len(names) == 0 {
		delete(c.byAddress, host.Dial)
	}
}

// compare finds the newest of the hosts at an address. It appends to changed the names of those that
// are replaced from now on, or no longer.
func (c *AddressClaims) compare(address string, changed []string) []string {
	names := c.byAddress[address]
	newest := 0.0
	for _, name := range names {
		newest = max(newest, c.hosts[name].BornMs)
	}
	for _, name := range names {
		isReplaced := c.hosts[name].BornMs < newest
		if isReplaced == c.replaced[name] {
			continue
		}
		changed = append(changed, name)
		if isReplaced {
			c.replaced[name] = true
		} else {
			delete(c.replaced, name)
		}
	}
	return changed
}

// resolved returns a host of the list, gone if a newer process has its address.
func (c *AddressClaims) resolved(host Host) Host {
	if c.replaced[host.Host] {
		host.Health = healthGone
	}
	return host
}
