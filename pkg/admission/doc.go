// Package admission queues requests fairly by kind of work and caller while all of a service's
// units at this node are in use.
package admission
