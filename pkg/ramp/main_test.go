package ramp

import (
	"testing"

	"github.com/fireflychute/fireflychute/internal/modeltest"
)

func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Options{Seed: 1}) }
