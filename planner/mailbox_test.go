package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDeliveryOrder checks that mailboxes are delivered in the actors' creation order, and that messages enqueued
// during a delivery are delivered with the next one.
func TestDeliveryOrder(t *testing.T) {
	var first, second mailbox[string]
	var delivered []string
	first.receive = func(message string) {
		delivered = append(delivered, "first "+message)
		if message == "a" {
			first.enqueue("c")
			second.enqueue("d")
		}
	}
	second.receive = func(message string) {
		delivered = append(delivered, "second "+message)
		if message == "d" {
			first.enqueue("e")
		}
	}
	p := &Planner{actors: []actor{&first, &second}}
	first.enqueue("a")
	first.enqueue("b")
	p.deliverAll()
	assert.Equal(t, []string{"first a", "first b", "second d", "first c", "first e"}, delivered)
	assert.False(t, first.deliver(), "all mailboxes are empty")
}
