package deadletter

// InFlightMessages tracks the accepted messages of each topic that have no terminal outcome yet.
type InFlightMessages struct {
	orders map[Topic]map[string]Order // by topic and message id
}

// Add adds a message that was accepted.
func (m *InFlightMessages) Add(id string, topic Topic, order Order) {
	if m.orders == nil {
		m.orders = map[Topic]map[string]Order{}
	}
	if m.orders[topic] == nil {
		m.orders[topic] = map[string]Order{}
	}
	m.orders[topic][id] = order
}

// Remove removes a message that has its terminal outcome. A delivery must have been recorded in the store before.
func (m *InFlightMessages) Remove(id string, topic Topic) {
	if delete(m.orders[topic], id); len(m.orders[topic]) == 0 {
		delete(m.orders, topic)
	}
}

// NewestAfter returns the id of the newest message of a topic if it is newer than an order, or "". known is false if it
// returns "" while a message with an unreadable subject is in flight, because that message may belong to any topic of its
// class and destination.
func (m *InFlightMessages) NewestAfter(topic Topic, order Order) (newest string, known bool) {
	newestOrder := order
	for id, o := range m.orders[topic] {
		if o.compare(newestOrder) > 0 {
			newest, newestOrder = id, o
		}
	}
	unreadable := m.orders[Topic{Class: topic.Class, Destination: topic.Destination}]
	return newest, newest != "" || len(unreadable) == 0
}

// OlderThan returns the ids of the messages of a topic that are older than an order.
func (m *InFlightMessages) OlderThan(topic Topic, order Order) (older []string) {
	for id, o := range m.orders[topic] {
		if o.compare(order) < 0 {
			older = append(older, id)
		}
	}
	return older
}
