package catalog

import (
	"strings"

	"github.com/pkg/errors"
)

// Validate returns an error if the configuration cannot be applied. The caller then keeps the last
// valid one in force.
func (c *Configuration) Validate() error {
	for i := range c.Routes {
		err := c.validateRoute(&c.Routes[i])
		if err != nil {
			return errors.Wrapf(err, "route %q", c.Routes[i].Name)
		}
	}
	return nil
}

func (c *Configuration) validateRoute(route *Route) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.Errorf("prefix %q does not begin and end with a slash", route.Prefix)
	case route.Timeout <= 0:
		return errors.New("timeout is not positive")
	case route.Attempts < 1:
		return errors.New("attempts is less than 1")
	case len(route.Parts) == 0:
		return errors.New("route has no service")
	}
	total := 0.0
	for _, part := range route.Parts {
		_, exists := c.Services[part.Service]
		if !exists {
			return errors.Errorf("unknown service %q", part.Service)
		}
		if part.Weight < 0 {
			return errors.Errorf("weight of service %q is negative", part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		return errors.New("all services have weight 0")
	}
	return nil
}
