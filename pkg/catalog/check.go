package catalog

import (
	"strings"

	"github.com/pkg/errors"
)

// Validate refuses a configuration that cannot be carried out. The last valid one
// stays in force in its place.
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
		return errors.New("no timeout")
	case route.Attempts < 1:
		return errors.New("no attempts")
	case len(route.Parts) == 0:
		return errors.New("no service")
	}
	total := 0.0
	for _, part := range route.Parts {
		_, exists := c.Services[part.Service]
		if !exists {
			return errors.Errorf("unknown service %q", part.Service)
		}
		if part.Weight < 0 {
			return errors.Errorf("negative weight of service %q", part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		return errors.New("no service has a weight")
	}
	return nil
}
