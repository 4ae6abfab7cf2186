package deadletter

import "slices"

// memorySubjects is a subjectStorage in memory.
type memorySubjects struct {
	epochs          map[string]*trackingEpoch
	delivered       map[Topic]newestMessage
	order           []Topic // the topic that was put longest ago comes first
	waitingMessages map[Topic][]newestMessage
}

// newMemorySubjects returns an empty storage.
func newMemorySubjects() *memorySubjects {
	return &memorySubjects{epochs: map[string]*trackingEpoch{}, delivered: map[Topic]newestMessage{}, waitingMessages: map[Topic][]newestMessage{}}
}

func (s *memorySubjects) epoch(class string) *trackingEpoch { return s.epochs[class] }

func (s *memorySubjects) setEpoch(class string, e *trackingEpoch) { s.epochs[class] = e }

func (s *memorySubjects) size() int { return len(s.delivered) }

func (s *memorySubjects) newest(t Topic) *newestMessage {
	if m, ok := s.delivered[t]; ok {
		return &m
	}
	return nil
}

func (s *memorySubjects) put(t Topic, m newestMessage) {
	s.order = append(slices.DeleteFunc(s.order, func(o Topic) bool { return o == t }), t)
	s.delivered[t] = m
}

func (s *memorySubjects) evictOldest() (string, *newestMessage) {
	t := s.order[0]
	m := s.delivered[t]
	s.order = s.order[1:]
	delete(s.delivered, t)
	return t.Class, &m
}

func (s *memorySubjects) waiting(t Topic, version int) (newest *newestMessage) {
	for _, m := range s.waitingMessages[t] {
		if m.Version == version && (newest == nil || m.Order.compare(newest.Order) > 0) {
			newest = &m
		}
	}
	return newest
}
