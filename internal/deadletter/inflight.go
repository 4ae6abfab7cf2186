package deadletter

// InFlightMessages tracks the accepted messages of each topic that have not ended.
type InFlightMessages struct {
	orders map[Topic]map[string]Order
}

// Add notes a message that was accepted, and Ended that it has ended.
func (u *InFlightMessages) Add(id string, t Topic, order Order) {
	if u.orders == nil {
		u.orders = map[Topic]map[string]Order{}
	}
	if u.orders[t] == nil {
		u.orders[t] = map[string]Order{}
	}
	u.orders[t][id] = order
}

// Remove notes that a message has ended, and is known to Newest where it should be.
func (u *InFlightMessages) Remove(id string, t Topic) {
	if delete(u.orders[t], id); len(u.orders[t]) == 0 {
		delete(u.orders, t)
	}
}

// NewestAfter gives the newest message of a topic that is newer than a place in its order, or "". known is false where one is
// out whose subject can't be read: it may be of any topic of its class and destination.
func (u *InFlightMessages) NewestAfter(t Topic, order Order) (newest string, known bool) {
	best := order
	for id, at := range u.orders[t] {
		if at.compare(best) > 0 {
			newest, best = id, at
		}
	}
	return newest, newest != "" || len(u.orders[Topic{Class: t.Class, Destination: t.Destination}]) == 0
}

// OlderThan gives the messages of a topic that come before a place in its order.
func (u *InFlightMessages) OlderThan(t Topic, order Order) (older []string) {
	for id, at := range u.orders[t] {
		if at.compare(order) < 0 {
			older = append(older, id)
		}
	}
	return older
}
