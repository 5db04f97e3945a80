// Package declare decodes declarations and validates a set of objects as a whole.
package declare
