package finding

import (
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Undecodable returns the finding of a configuration that can't be decoded.
func Undecodable(err error) []Finding {
	l := newList()
	l.add(Error, Entry{Part: PartConfiguration}, "Every host refuses the configuration, since it can't be decoded: %v.", err)
	return l.findings
}

// Check returns what is wrong with a configuration, errors first. The configuration
// in force may be nil; else the version has to be above its version.
func Check(c, inForce *Configuration) []Finding {
	l := newList()
	l.checkVersion(c, inForce)
	l.checkLimits(c.Limits)
	l.checkRoutes(c)
	l.checkServices(c)
	l.checkAccounts(c)
	return l.sorted()
}

func (l *list) checkVersion(c, inForce *Configuration) {
	entry := Entry{Part: PartConfiguration}
	if c.Version == nil {
		l.add(Error, entry, "There is no version, so every host refuses the configuration.")
		return
	}
	if inForce == nil || inForce.Version == nil {
		return
	}
	l.addIf(*c.Version <= *inForce.Version, Error, entry,
		"Version %d is not above version %d, which is in force, and hosts adopt only higher versions.", *c.Version, *inForce.Version)
}

func (l *list) checkLimits(limits route.Limits) {
	entry := Entry{Part: PartLimits}
	l.addIf(limits.MaxHeaderBytes <= 0, Warning, entry, "The limit of request headers is not above zero, so hosts use their own.")
	l.addIf(limits.MaxBodyBytes <= 0, Warning, entry, "The limit of request bodies is not above zero, so hosts use their own.")
	l.addIf(limits.HeaderTimeout <= 0, Warning, entry, "The timeout of request headers is not above zero.")
	l.addIf(limits.IdleTimeout <= 0, Warning, entry, "The timeout of idle connections is not above zero.")
	l.addIf(limits.MaxBodyBytes > 0 && limits.MaxBodyBytes < int64(limits.MaxHeaderBytes), Warning, entry,
		"The limit of request bodies, %d bytes, is under that of headers, %d bytes.", limits.MaxBodyBytes, limits.MaxHeaderBytes)
	l.addIf(limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout, Warning, entry,
		"The timeout of request headers, %v, is over that of idle connections, %v.", limits.HeaderTimeout, limits.IdleTimeout)
}

func (l *list) checkServices(c *Configuration) {
	used := make(map[plan.ServiceID]bool)
	for i := range c.Routes {
		for _, s := range c.Routes[i].splits() {
			used[s.Service] = true
		}
	}
	first := make(map[plan.ServiceID]int)
	for i := range c.Services {
		s := &c.Services[i]
		entry := Entry{Part: PartService, Position: i + 1, Name: string(s.ID)}
		l.addIf(s.ID == "", Error, entry, "The service has no name, so no route can send requests to it.")
		l.addIf(s.ID != "" && !used[s.ID], Warning, entry, "No route names the service, so it gets no requests.")
		if other, ok := first[s.ID]; ok {
			l.add(Error, entry, "Service %d has the same name, and only the last of them counts.", other)
		} else {
			first[s.ID] = i + 1
		}
		l.checkColdStart(entry, s)
		l.checkCapacity(entry, s)
	}
}

func (l *list) checkColdStart(entry Entry, s *Service) {
	l.addIf(s.ColdStart < 0, Error, entry, "The cold start time, %v, is negative.", s.ColdStart)
	l.addIf(s.ColdRate < 0, Error, entry, "The rate of cold upstreams, %v requests a second, is negative.", s.ColdRate)
	l.addIf(s.ColdStart > 0 && s.ColdRate == 0, Warning, entry,
		"Upstreams are cold for %v after their start, but there is no limit on the requests that they get meanwhile.", s.ColdStart)
	l.addIf(s.ColdStart == 0 && s.ColdRate > 0, Warning, entry,
		"There is a limit of %v requests a second for cold upstreams, but no time for which they are cold after their start.", s.ColdRate)
}

func (l *list) checkCapacity(entry Entry, s *Service) {
	l.addIf(s.MaxConnections < 0, Warning, entry, "The number of connections, %d, is negative, which counts as no limit.", s.MaxConnections)
	e := s.Engine
	if e == nil {
		return
	}
	l.addIf(e.Slots <= 0, Warning, entry, "The engine has no slots, although a request needs one.")
	l.addIf(e.CacheTokens <= 0, Warning, entry, "The engine has no memory for tokens, although every prompt needs some.")
	l.addIf(e.CacheTokens > 0 && e.CacheTokens < e.Slots, Warning, entry,
		"The engine has memory for %d tokens, which is under one token for each of its %d slots.", e.CacheTokens, e.Slots)
	l.addIf(s.MaxConnections > 0 && s.MaxConnections < e.Slots, Warning, entry,
		"An upstream accepts %d connections, so only as many of its %d slots can be used.", s.MaxConnections, e.Slots)
	l.addIf(e.TokensPerEvent < 0, Warning, entry, "The number of tokens in an event, %d, is negative, and hosts use 1.", e.TokensPerEvent)
}

func (l *list) checkAccounts(c *Configuration) {
	if c.Accounts == nil {
		return
	}
	firstAccount := make(map[plan.AccountID]int)
	owners := make(map[Key]int)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		entry := Entry{Part: PartAccount, Position: i + 1, Name: string(a.ID)}
		l.addIf(a.ID == "", Error, entry, "The account has no name, so its requests can't be told from those of others.")
		if other, ok := firstAccount[a.ID]; ok {
			l.add(Error, entry, "Account %d has the same name.", other)
		} else {
			firstAccount[a.ID] = i + 1
		}
		l.addIf(len(a.Keys) == 0, Warning, entry, "The account has no keys, so no request can belong to it.")
		l.checkKeys(entry, a, owners)
	}
	l.checkAnonymous(c, len(owners))
}

// checkKeys checks the keys of an account. Owners holds the positions of the accounts
// of all keys so far.
func (l *list) checkKeys(entry Entry, a *Account, owners map[Key]int) {
	for _, key := range a.Keys {
		l.addIf(key == "", Error, entry, "A key is empty, so requests without a key belong to the account.")
		other, ok := owners[key]
		l.addIf(ok && other != entry.Position, Warning, entry, "Key %q belongs to account %d too, and only the last account counts.", key, other)
		l.addIf(ok && other == entry.Position, Warning, entry, "Key %q is listed twice.", key)
		owners[key] = entry.Position
	}
}

// checkAnonymous compares the routes that need no key with the accounts.
func (l *list) checkAnonymous(c *Configuration, keys int) {
	needKey := 0
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Anonymous {
			needKey++
			continue
		}
		l.addIf(keys > 0, Warning, routeEntry(i, r), "The route needs no key, although there are accounts.")
	}
	l.addIf(keys == 0 && needKey > 0, Error, Entry{Part: PartConfiguration},
		"There is a list of accounts without any key, so all requests of the %d routes that need a key are refused.", needKey)
}
