// Package datacentre checks that a configuration change leaves enough capacity when it takes data
// centres out of service, and derives the status of data centres that go out of or into service.
package datacentre
